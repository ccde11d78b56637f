package io.hemlockbend.core.table;

/**
 * A row as read from the table.
 *
 * @param key its key
 * @param revision counts its writes; conditions compare it
 * @param value what it holds
 */
public record Row(RowKey key, long revision, RowValue value) {}
