/**
 * Checks whole configurations before they are accepted or applied.
 *
 * <p>{@link io.hemlockbend.core.validation.ConfigurationChecker} walks a configuration once and
 * passes each part to the checks that visit its kind. Each check implements one rule and reports
 * typed violations instead of throwing, so that all of them are reported at once. Times are in
 * milliseconds since the epoch.
 */
package io.hemlockbend.core.validation;
