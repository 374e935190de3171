package io.cranberryarch.base;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in the reverse order of their registration.
 *
 * <p>All resources are closed even if one of them fails. The first exception is thrown at the end, with later ones
 * added as suppressed exceptions. Instances are thread-safe.
 *
 * <pre>
 * try (Closer closer = new Closer()) {
 *     Server server = closer.add(startServer());
 * }
 * </pre>
 */
public final class Closer implements AutoCloseable {

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Registers a resource.
     *
     * @param <T> the type of the resource
     * @param resource the resource to close later, not {@code null}
     * @return the same resource
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    /**
     * Closes all registered resources. Later calls have no effect unless further resources were registered.
     *
     * @throws Exception the first exception thrown by a resource
     */
    @Override
    public void close() throws Exception {
        Exception first = null;
        for (AutoCloseable resource = poll(); resource != null; resource = poll()) {
            try {
                resource.close();
            } catch (Exception e) {
                if (first == null) {
                    first = e;
                } else {
                    first.addSuppressed(e);
                }
            }
        }
        if (first != null) {
            throw first;
        }
    }

    private synchronized AutoCloseable poll() {
        return resources.poll();
    }
}
