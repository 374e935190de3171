package io.cranberryarch.app;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles operating system signals that would otherwise end the process.
 *
 * <p>The JDK class for signals is not part of its public API and is therefore accessed by reflection.
 */
final class Signals {

    private Signals() {}

    /**
     * Registers an action that runs on each arrival of a signal. Logs a warning if the signal cannot be handled.
     *
     * @param name the name of the signal without the prefix SIG
     * @param action the action, which runs on a separate thread
     */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            Logger.warn("event=signal-not-handled signal={} cause=\"{}\"", name, e.getMessage());
        }
    }
}
