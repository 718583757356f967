package org.marjoramswitch.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Hears the signals that drive a process: SIGTERM and SIGINT, which end it, and SIGHUP, which says that its settings file
 * has changed; unheard, SIGHUP ends the process at once with all its requests. A shutdown hook would not do: once hooks
 * run, the virtual machine ignores further signals, and a second one has to end a graceful shutdown. The platform's only
 * interface to signals is {@code sun.misc.Signal}, which cannot be compiled against without a warning; so it is reached
 * by name.
 */
final class ProcessSignals {
    private static final List<String> ENDING = List.of("TERM", "INT");
    private static final String HANG_UP = "HUP";

    private ProcessSignals() {}

    /** Runs a handler on a thread of its own for each signal from now on; false where signals cannot be heard. */
    static boolean handle(Runnable onEnding, Runnable onHangUp) {
        try {
            for (String name : ENDING) {
                register(name, onEnding);
            }
            register(HANG_UP, onHangUp);
            return true;
        } catch (ReflectiveOperationException unsupported) {
            return false;
        }
    }

    private static void register(String name, Runnable handler) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        InvocationHandler invocation =
                (proxy, method, arguments) -> invoke(proxy, method.getName(), arguments, handler);
        Object proxy = Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType}, invocation);
        Object signal = signalType.getConstructor(String.class).newInstance(name);
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, proxy);
    }

    private static Object invoke(Object proxy, String method, Object[] arguments, Runnable handler) {
        return switch (method) {
            case "handle" -> {
                handler.run();
                yield proxy;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "signal handler";
        };
    }
}
