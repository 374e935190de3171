package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.context.HeaderField;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class CompactHeadersTest {

    private final CompactHeaders compact = new CompactHeaders(TestHeaderNames.NAMES);

    @Test
    void commonNamesAreEncodedAsOneCharacter() {
        List<HeaderField> shortened = compact.shorten(List.of(new HeaderField("Content-Type", "text/plain")));
        assertEquals(1, shortened.get(0).name().length());
    }

    @Property(tries = 200, seed = "51")
    void expandRestoresShortenedHeaders(
            @ForAll @Size(max = 5) List<@AlphaChars @StringLength(min = 1, max = 3) String> names) {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(new HeaderField("Host", "shop.example"));
        headers.add(new HeaderField(TestHeaderNames.NAMES.account(), "ana"));
        for (String name : names) {
            headers.add(new HeaderField(name, name));
        }
        assertEquals(headers, compact.expand(compact.shorten(headers)));
    }
}
