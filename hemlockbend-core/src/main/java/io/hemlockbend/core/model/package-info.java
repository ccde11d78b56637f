/** The configuration model and the changes to it. */
package io.hemlockbend.core.model;
