// Package standin defines the lock order that the stand-ins for the platform and for backend servers share. The stand-ins
// are in its subdirectories. Tests, the quickstart and the measurement driver use them; daemons access them only over
// HTTP.
package standin
