/** Typed rows, conditions and transactions of the platform's table service. */
package io.hemlockbend.core.table;
