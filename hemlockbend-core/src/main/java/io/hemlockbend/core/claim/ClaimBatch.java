package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.Transaction;

/**
 * A transaction that claims several keys at once.
 *
 * @param number identifies it within its ledger
 * @param transaction what to send to the table
 */
public record ClaimBatch(long number, Transaction transaction) {}
