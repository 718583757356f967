package org.marjoramswitch.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Handles the signals of the process: SIGTERM and SIGINT request its end, and SIGHUP announces that the settings file
 * has changed. Unhandled, SIGHUP would end the process at once with all its requests.
 *
 * <p>A shutdown hook is not sufficient: once hooks run, the virtual machine ignores further signals, but a second
 * signal must end a graceful shutdown. Java's only interface to signals is {@code sun.misc.Signal}, which cannot be
 * compiled against without a warning, so it is accessed by reflection.
 */
final class ProcessSignals {
    private static final List<String> TERMINATION_SIGNALS = List.of("TERM", "INT");
    private static final String HANGUP_SIGNAL = "HUP";

    private ProcessSignals() {}

    /** Runs a handler on a new thread for each signal from now on; false if signals cannot be handled. */
    static boolean handle(Runnable onTermination, Runnable onHangup) {
        try {
            for (String name : TERMINATION_SIGNALS) {
                register(name, onTermination);
            }
            register(HANGUP_SIGNAL, onHangup);
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
