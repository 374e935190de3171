package io.cranberryarch.bench;

import io.cranberryarch.node.Node;
import io.cranberryarch.settings.NodeConfigReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one node in a process of its own and prints its memory usage for each line read from standard input. */
public final class FootprintProbe {

    private static final int GC_CYCLES = 3;

    private FootprintProbe() {}

    /**
     * Runs the node until standard input ends.
     *
     * @param arguments the path of the INI file of the node
     * @throws Exception if the node cannot start
     */
    public static void main(String[] arguments) throws Exception {
        System.setProperty("tinylog.writer.level", "warn");
        Node node = Node.start(NodeConfigReader.read(Path.of(arguments[0])));
        System.out.println(node.getLocalPort() + " " + node.getEntryPort());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        while (in.readLine() != null) {
            System.out.println(measureMemory());
        }
        node.kill();
        System.exit(0);
    }

    private static String measureMemory() throws IOException {
        for (int i = 0; i < GC_CYCLES; i++) {
            System.gc();
        }
        long metaspace = 0;
        long codeCache = 0;
        for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
            long used = pool.getUsage().getUsed();
            if (pool.getName().startsWith("CodeHeap") || pool.getName().equals("CodeCache")) {
                codeCache += used;
            } else if (pool.getName().equals("Metaspace")) {
                metaspace += used;
            }
        }
        long direct = 0;
        for (BufferPoolMXBean pool : ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)) {
            direct += pool.getMemoryUsed();
        }
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        int threads = ManagementFactory.getThreadMXBean().getThreadCount();
        return heap + " " + metaspace + " " + codeCache + " " + direct + " " + readResidentBytes() + " " + threads;
    }

    private static long readResidentBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024;
            }
        }
        return 0;
    }
}
