/**
 * Checks whole configurations before they are accepted or applied.
 *
 * <p>{@link io.hemlockbend.core.validation.ConfigurationChecker} walks a configuration once and
 * shows each part to the checks that want to see parts of its kind. Each check holds one rule and
 * reports typed violations; nothing is thrown, so that all faults are named at once. Times are in
 * milliseconds since the epoch.
 */
package io.hemlockbend.core.validation;
