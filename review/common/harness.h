// Stand-ins and helpers for the cases under review/: the platform's store, node processes, and plain
// HTTP/1.1 over blocking sockets. Everything listens on 127.0.0.1 and on free ports.
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Seconds since the start of the case.
double now_s();
void sleep_s(double seconds);
/// Sleeps until `now_s()` is `at`.
void sleep_until_s(double at);

/// Writes a line with the time to record.txt in the folder of the case.
void record(const std::string& line);
void open_record(const std::string& path, bool anew);

/// Whether the disruption is to take place (TROUBLE=0 switches it off).
bool with_trouble();

/// Ends the process with 2: the case could not run.
[[noreturn]] void cannot_run(const std::string& why);

/// A file descriptor of a socket, closed at the end of its scope.
class connection
{
public:
    explicit connection(int descriptor = -1) : m_descriptor(descriptor) {}
    connection(connection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1)), m_input(std::move(other.m_input))
    {}
    connection& operator=(connection&& other) noexcept;
    ~connection() { close(); }

    bool is_open() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    void close();
    /// Closes with a reset.
    void reset();
    bool send(const std::string& bytes);
    /// Reads up to `limit` bytes; returns 0 at the end, -1 on an error such as a reset.
    long receive(std::string& into, std::size_t limit);
    /// Reads up to the empty line; returns false if the connection ends before it.
    bool receive_head(std::string& head);
    /// Reads exactly `size` bytes.
    bool receive_exactly(std::string& body, std::size_t size);
    void set_receive_timeout(double seconds);
    /// Bytes that were read and not used yet.
    std::string& input() { return m_input; }

private:
    int m_descriptor;
    std::string m_input;
};

struct socket_options
{
    int receive_buffer = 0;
    int max_segment = 0;
};

connection connect_to(int port, socket_options options = {});

/// Returns a field of a head, with the name compared without case; empty if absent.
std::string field(const std::string& head, const std::string& name);
/// Returns the status of a response head, 0 if it has none.
int status_of(const std::string& head);
std::string method_of(const std::string& head);
std::string target_of(const std::string& head);

/// Accepts connections and handles each in a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection)>;
    listener(handler handle, socket_options options = {});
    ~listener();
    int port() const { return m_port; }

private:
    handler m_handle;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// The platform's store and its duty API, as PROTOCOL.md describes them. It keeps all records.
class platform
{
public:
    platform();
    int port() const { return m_listener->port(); }
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Writes the configuration and records its version.
    void put_config(const nlohmann::json& config);
    /// Registers a server and renews its entry from then on.
    void add_server(const std::string& id, nlohmann::json entry);
    /// Calls of the duties, in the order of their arrival: time, holder, fence, path, body.
    struct duty_call
    {
        double at;
        std::string holder;
        std::string fence;
        std::string path;
        std::string body;
    };
    std::vector<duty_call> duty_calls();
    ~platform();

private:
    void serve(connection caller);
    std::pair<int, std::string> answer(const std::string& head, const std::string& body);
    std::pair<int, std::string> append(const std::string& target, const std::string& body);
    std::pair<int, std::string> read(const std::string& target);
    std::pair<int, std::string> newest(const std::string& target);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    std::map<std::string, nlohmann::json> m_servers;
    std::vector<duty_call> m_calls;
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<listener> m_listener;
    std::thread m_heartbeat;
};

/// A process of the system, started as the deploy file says.
class node
{
public:
    struct options
    {
        std::string name;
        std::string zone;
        int platform_port = 0;
        nlohmann::json bounds;
    };
    explicit node(options settings);
    ~node();
    void start(const std::vector<int>& seeds, bool is_first_start = true);
    void signal(int number);
    bool is_ready() const;
    void wait_until_ready(double timeout_s) const;
    /// Whether the process has ended; records the first time that it is seen.
    bool has_ended();
    int front_port() const { return m_front; }
    int control_port() const { return m_control; }
    int directory_port() const { return m_directory; }
    const std::string& name() const { return m_options.name; }

private:
    options m_options;
    int m_front;
    int m_ready;
    int m_control;
    int m_directory;
    int m_metrics;
    pid_t m_process = -1;
    bool m_ended = false;
};

/// A stand-in in a process of its own: this program again, with the arguments RECORD and ROLE. It
/// prints the port on which it listens.
class child
{
public:
    child(const std::string& role, const std::string& record_path);
    child(const child&) = delete;
    ~child() { kill_now(); }
    int port() const { return m_port; }
    void kill_now();

private:
    pid_t m_process = -1;
    int m_port = 0;
};

/// Bounds of a small deployment, those of drechsel in SYSTEM.md.
nlohmann::json small_bounds();

/// Starts `count` nodes, each in a zone of its own, and waits until they are ready.
std::vector<std::unique_ptr<node>> start_nodes(int count, const platform& store);

/// Asks a node where to connect; returns the ports of the front addresses.
std::vector<int> resolve(int directory_port);

/// A text of `size` bytes that depends on `id` and on the place in it.
std::string pattern(const std::string& id, std::size_t size);

/// To be called first: opens the record and ends the process after two minutes at the latest.
void begin(const char* argument);

} // namespace review

#endif
