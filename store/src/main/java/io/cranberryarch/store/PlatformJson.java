package io.cranberryarch.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;

/** The JSON bodies of the platform's HTTP interface. */
public final class PlatformJson {

    /** Serializes and parses all bodies. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    /**
     * The body of a commit.
     *
     * @param conditions the required versions of rows
     * @param writes the new values of rows
     */
    public record CommitBody(List<Transaction.Condition> conditions, List<Transaction.Write> writes) {}

    /**
     * The body of a list of rows.
     *
     * @param rows the rows
     */
    public record RowsBody(List<Row> rows) {}

    /**
     * The body of a list of object names.
     *
     * @param names the names
     */
    public record NamesBody(List<String> names) {}
}
