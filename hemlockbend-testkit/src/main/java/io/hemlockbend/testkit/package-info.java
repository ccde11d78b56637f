/** Stand-ins for what surrounds a mesh, a load tool and a checker of recorded traces. */
package io.hemlockbend.testkit;
