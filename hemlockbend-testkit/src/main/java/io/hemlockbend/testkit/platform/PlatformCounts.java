package io.hemlockbend.testkit.platform;

/**
 * How often the platform was called.
 *
 * @param reads reads and scans of the table
 * @param transactions transactions, applied or not
 * @param writes rows written or deleted
 * @param objectPuts objects stored
 * @param objectGets objects asked for
 */
public record PlatformCounts(
    long reads, long transactions, long writes, long objectPuts, long objectGets) {}
