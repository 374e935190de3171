package io.cranberryarch.node.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cranberryarch.decision.lease.LeaseRecord;
import io.cranberryarch.decision.lease.LeaseWrite;
import io.cranberryarch.store.PlatformException;
import io.cranberryarch.store.Row;
import io.cranberryarch.store.TableStore;
import io.cranberryarch.store.Transaction;
import java.util.Optional;

/** Reads and writes the rows of leases in the platform's table. Thread-safe; blocks. */
final class LeaseTable {

    private static final String PREFIX = "leases/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TableStore table;

    LeaseTable(TableStore table) {
        this.table = table;
    }

    Optional<Row> read(String name) throws PlatformException {
        return table.get(PREFIX + name);
    }

    boolean write(LeaseWrite write) throws PlatformException {
        String key = PREFIX + write.name();
        return table.commit(
                new Transaction().requireVersion(key, write.requiredVersion()).put(key, toJson(write.record())));
    }

    static LeaseRecord toRecord(Row row) throws PlatformException {
        try {
            return MAPPER.readValue(row.value(), LeaseRecord.class);
        } catch (JsonProcessingException e) {
            throw new PlatformException("row " + row.key() + " is not a valid lease", e);
        }
    }

    private static String toJson(LeaseRecord content) throws PlatformException {
        try {
            return MAPPER.writeValueAsString(content);
        } catch (JsonProcessingException e) {
            throw new PlatformException("failed to serialize the lease", e);
        }
    }
}
