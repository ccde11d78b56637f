package io.hemlockbend.core.table;

/**
 * A row as read from the table.
 *
 * @param key its key
 * @param revision the number of its writes, compared by {@link Condition.AtRevision}
 * @param value its value
 */
public record Row(RowKey key, long revision, RowValue value) {}
