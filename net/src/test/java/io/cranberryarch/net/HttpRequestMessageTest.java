package io.cranberryarch.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.cranberryarch.context.HeaderField;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HttpRequestMessageTest {

    private static HttpRequestMessage newRequest(String target) {
        List<HeaderField> headers = List.of(new HeaderField("host", "a.example"), new HeaderField("X-Other", "1"));
        return new HttpRequestMessage("GET", target, headers, new byte[0], false);
    }

    @Test
    void originFormIsKept() {
        for (String target : List.of("/", "/a/?u=http://b.example/", "*", "b.example:443", "ftp://b.example/")) {
            HttpRequestMessage request = newRequest(target);
            assertSame(request, request.toOriginForm());
        }
    }

    @Test
    void authorityOfTheAbsoluteFormIsTheHost() {
        HttpRequestMessage request =
                newRequest("HTTP://B.example:80/a/%2F?x=/y").toOriginForm();
        assertEquals("/a/%2F?x=/y", request.target());
        assertEquals(Optional.of("B.example:80"), request.findHeader("Host"));
        assertEquals(2, request.headers().size());
    }

    @Test
    void emptyPathIsTheRoot() {
        assertEquals("/", newRequest("http://b.example").toOriginForm().target());
        assertEquals("/?x=1", newRequest("http://b.example?x=1").toOriginForm().target());
    }
}
