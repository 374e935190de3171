package io.cranberryarch.app;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles signals of the operating system that would end the process otherwise.
 *
 * <p>The class of the JDK for this is not part of its documented interface and is therefore looked up by name.
 */
final class Signals {

    private Signals() {}

    /**
     * Runs an action at each arrival of a signal.
     *
     * @param name the name of the signal without SIG
     * @param action the action, run on a thread of its own
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
