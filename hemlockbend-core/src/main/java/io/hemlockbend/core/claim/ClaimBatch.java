package io.hemlockbend.core.claim;

import io.hemlockbend.core.table.Transaction;

/**
 * A transaction that claims several keys at once.
 *
 * @param number identifies the batch within its ledger
 * @param transaction the transaction to send to the table
 */
public record ClaimBatch(long number, Transaction transaction) {}
