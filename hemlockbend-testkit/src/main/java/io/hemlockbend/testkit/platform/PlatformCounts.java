package io.hemlockbend.testkit.platform;

/**
 * The numbers of calls to the platform.
 *
 * @param reads reads and scans of the table
 * @param transactions transactions, applied or not
 * @param writes rows written or deleted
 * @param objectPuts objects stored
 * @param objectGets objects requested, found or not
 */
public record PlatformCounts(
    long reads, long transactions, long writes, long objectPuts, long objectGets) {}
