package io.hemlockbend.proxy.loop;

import io.hemlockbend.core.api.Clock;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs all connections and timers of a process on one thread. Jetty's selector hands every task to
 * this loop's queue instead of a pool, so that nothing here needs a lock. All methods but {@link
 * #execute}, {@link #start} and {@link #close} are called on the loop's thread once it runs.
 *
 * <p>Also the process's monotonic clock, in milliseconds: a step of the wall clock moves no
 * deadline.
 */
public final class EventLoop implements Clock, AutoCloseable {
  private static final Logger LOGGER = LoggerFactory.getLogger(EventLoop.class);
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int BACKLOG = 512;
  private static final long MAX_SELECT_MILLIS = 1_000;

  /** Equal to the longest back-off before a node is dialed again. */
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

  /** Creates the connection of a newly opened end point. */
  @FunctionalInterface
  public interface ConnectionFactory {
    /** Returns the connection that handles the end point. */
    Connection connect(EndPoint endPoint);
  }

  private record PendingConnect(ConnectionFactory factory, Consumer<Throwable> failed) {}

  private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> beforeWaitTasks = new ArrayDeque<>();
  private final Map<SelectableChannel, ConnectionFactory> listeners = new HashMap<>();
  private final Map<InetSocketAddress, ConnectionFactory> factoriesByAddress = new HashMap<>();
  private final LoopSelectorManager manager = new LoopSelectorManager();
  private volatile Thread thread;
  private volatile boolean closed;
  private volatile Consumer<Throwable> unexpectedEndListener = cause -> {};
  private long timerOrder;

  /** Creates a loop; {@link #start} runs it. */
  public EventLoop() {
    manager.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
  }

  @Override
  public long millis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  /**
   * Starts the loop's thread.
   *
   * @throws IllegalStateException when the selector cannot be opened
   */
  public void start() {
    try {
      manager.start();
    } catch (Exception e) {
      throw new IllegalStateException("failed to start the event loop", e);
    }
  }

  /**
   * Sets what is called if the loop's thread ends though the loop was not closed, with the cause or
   * null. Nothing is served any more then, and nothing else would show it.
   */
  public void onUnexpectedEnd(Consumer<Throwable> listener) {
    unexpectedEndListener = listener;
  }

  void threadEnded(Throwable cause) {
    if (!closed) {
      unexpectedEndListener.accept(cause);
    }
  }

  /** Queues a task to run on the loop's thread; may be called from any thread. */
  public void execute(Runnable task) {
    submitted.add(task);
    if (Thread.currentThread() != thread) {
      manager.wakeup();
    }
  }

  /** Runs a task once, after all work that is ready now and before the loop waits. */
  public void beforeWait(Runnable task) {
    beforeWaitTasks.add(task);
  }

  /** Runs a task after a delay. */
  public Timer after(long delayMillis, Runnable task) {
    Timer timer = new Timer(millis() + Math.max(0, delayMillis), timerOrder++, task);
    timers.add(timer);
    return timer;
  }

  /** Runs a task periodically, the first time after one period. */
  public void every(long periodMillis, Runnable task) {
    after(
        periodMillis,
        () -> {
          every(periodMillis, task);
          task.run();
        });
  }

  /**
   * Listens on an address; may be called before {@link #start}.
   *
   * @param address the local address; port 0 selects any free port
   * @param factory creates the connection of each accepted socket
   * @return the address with the actual port
   * @throws UncheckedIOException when the address cannot be bound
   */
  public InetSocketAddress listen(InetSocketAddress address, ConnectionFactory factory) {
    try {
      ServerSocketChannel channel = ServerSocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(address, BACKLOG);
      channel.configureBlocking(false);
      InetSocketAddress bound = (InetSocketAddress) channel.getLocalAddress();
      factoriesByAddress.put(bound, factory);
      listeners.put(channel, factory);
      manager.acceptor(channel);
      return bound;
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + address, e);
    }
  }

  /** Closes all listeners, so that the operating system refuses new connections. */
  public void stopListening() {
    for (SelectableChannel channel : listeners.keySet()) {
      closeQuietly(channel);
    }
    listeners.clear();
  }

  /**
   * Opens a connection.
   *
   * @param address the remote address
   * @param factory creates the connection once the socket is connected
   * @param failed receives the cause when the connection was not opened
   */
  public void connect(
      InetSocketAddress address, ConnectionFactory factory, Consumer<Throwable> failed) {
    SocketChannel channel = null;
    try {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      SocketOptions.apply(channel);
      PendingConnect pending = new PendingConnect(factory, failed);
      if (channel.connect(address)) {
        manager.accept(channel, pending);
      } else {
        manager.connect(channel, pending);
      }
    } catch (IOException | RuntimeException e) {
      if (channel != null) {
        closeQuietly(channel);
      }
      execute(() -> failed.accept(e));
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      manager.stop();
    } catch (Exception e) {
      LOGGER.warn("event loop did not stop cleanly", e);
    }
  }

  private void closeQuietly(SelectableChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOGGER.debug("failed to close {}", channel, e);
    }
  }

  /** Runs all work that is ready; returns how long to wait for more, in milliseconds. */
  private long runReady() {
    runSubmitted();
    runTimers();
    while (!beforeWaitTasks.isEmpty()) {
      run(beforeWaitTasks.poll());
    }
    if (!submitted.isEmpty()) {
      return 0;
    }
    Timer next = timers.peek();
    return next == null ? MAX_SELECT_MILLIS : Math.max(0, next.dueMillis() - millis());
  }

  private void runSubmitted() {
    int waiting = submitted.size();
    for (int i = 0; i < waiting; i++) {
      Runnable task = submitted.poll();
      if (task != null) {
        run(task);
      }
    }
  }

  private void runTimers() {
    long now = millis();
    while (!timers.isEmpty() && (timers.peek().cancelled() || timers.peek().dueMillis() <= now)) {
      Timer timer = timers.poll();
      run(timer::run);
    }
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      // An overflowed stack or heap must cost its task only, as the loop serves all others.
      logFailure(e);
    }
  }

  private static void logFailure(Throwable failure) {
    try {
      LOGGER.error("event loop task failed", failure);
    } catch (RuntimeException | Error e) {
      // Without memory the line may fail too, which must not end the loop either.
      return;
    }
  }

  private final class LoopSelectorManager extends SelectorManager {
    private LoopSelector selector;

    LoopSelectorManager() {
      super(new LoopExecutor(), new LoopScheduler(), 1);
      ((LoopScheduler) getScheduler()).attach(EventLoop.this);
      ((LoopExecutor) getExecutor()).attach(EventLoop.this);
    }

    void wakeup() {
      if (selector != null) {
        selector.submit(ignored -> {});
      }
    }

    @Override
    protected ManagedSelector newSelector(int id) {
      selector = new LoopSelector(this, id);
      return selector;
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
      SocketChannel socket = (SocketChannel) channel;
      ConnectionFactory factory =
          factoriesByAddress.get((InetSocketAddress) socket.getLocalAddress());
      socket.configureBlocking(false);
      SocketOptions.apply(socket);
      accept(socket, new PendingConnect(factory, ignored -> {}));
    }

    @Override
    protected void onAcceptFailed(SelectableChannel server, Throwable cause) {
      if (server.isOpen()) {
        LOGGER.warn("failed to accept a connection", cause);
      }
    }

    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector managed, SelectionKey key) {
      return new ResetAwareEndPoint((SocketChannel) channel, managed, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object pending) {
      return ((PendingConnect) pending).factory().connect(endPoint);
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object pending) {
      execute(() -> ((PendingConnect) pending).failed().accept(cause));
    }
  }

  private final class LoopSelector extends ManagedSelector {
    LoopSelector(SelectorManager manager, int id) {
      super(manager, id);
    }

    @Override
    protected int nioSelect(Selector selector, boolean now) throws IOException {
      if (thread == null) {
        thread = Thread.currentThread();
      }
      long waitMillis = now ? 0 : runReady();
      return waitMillis == 0 ? selector.selectNow() : selector.select(waitMillis);
    }
  }
}
