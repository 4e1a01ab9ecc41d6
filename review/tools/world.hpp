// Small stand-ins for the review's cases: HTTP over blocking sockets, the platform's store of rows, and the
// entry daemon as a separate process. Everything listens on loopback addresses.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;

//! Milliseconds on the steady clock.
std::int64_t now_ms();
//! Milliseconds of the time of day.
std::int64_t wall_ms();
void sleep_ms(std::int64_t span);
//! A TCP port of 127.0.0.1 that is free now.
int free_port(const std::string& address = "127.0.0.1");

//! An HTTP/1.1 message as it was read.
struct message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    //! Whether the body came to its end by the protocol.
    bool is_whole = false;

    [[nodiscard]] std::string header(std::string_view name) const;
};

//! One end of a TCP connection.
class connection {
public:
    explicit connection(int socket_in) : socket(socket_in) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    //! Null when nobody listens there.
    static std::unique_ptr<connection> open(const std::string& address, int port);
    //! False once the peer has gone.
    bool write(std::string_view bytes) const;
    //! Reads the next message; false when the connection ends before its head, or after the time.
    bool read_request(message& into, std::int64_t within_ms);
    bool read_response(message& into, std::int64_t within_ms);
    //! Ends both directions, so that a thread that reads wakes up.
    void shut() const;
    //! Makes the end a reset.
    void reset() const;

private:
    bool fill(std::int64_t until);
    bool read_head(message& into, std::int64_t until, std::string& first_line);
    bool read_body(message& into, std::int64_t until, bool is_response);
    bool read_chunks(message& into, std::int64_t until);

    int socket;
    std::string buffer;
};

//! Listens, and answers each request of each connection in a thread of its own.
class server {
public:
    //! Returns false when the connection is to end.
    using handler = std::function<bool(connection&, const message&)>;

    explicit server(handler handle_in, std::string address_in = "127.0.0.1");
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    [[nodiscard]] std::string address() const;

private:
    void accept_all();
    void serve(const std::shared_ptr<connection>& with);

    handler handle;
    std::string own_address;
    int listener = -1;
    int port = 0;
    std::atomic<bool> is_closing{false};
    std::mutex guard;
    std::list<std::weak_ptr<connection>> open;
    std::atomic<int> running{0};
    std::thread acceptor;
};

std::string response(int status, const std::string& headers, std::string_view body);

//! The platform's store: rows with versions from one counter, transactions under conditions, a feed.
class row_store {
public:
    row_store();
    //! Writes as the operator and the replicas do.
    void put(const std::string& table, const std::string& key, const json& value);
    void remove(const std::string& table, const std::string& key);
    [[nodiscard]] std::string address() const { return this->port->address(); }

private:
    struct row {
        std::string table;
        std::string key;
        std::string value;
        std::int64_t version = 0;
        bool is_removed = false;
    };

    bool answer(connection& with, const message& request);
    json get(const std::map<std::string, std::string>& query);
    json feed(const std::map<std::string, std::string>& query);
    json transact(const json& entries, int& status);
    void set(const std::string& table, const std::string& key, const std::string& value, bool is_removed);
    static json row_json(const row& one);

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, row> rows;
    std::int64_t version = 1;
    std::unique_ptr<server> port;
};

//! Where an entry daemon listens, and what its settings say of its machine.
struct daemon_place {
    std::string name;
    std::string address;
    int callers = 0;
    int readiness = 0;
    int peers = 0;
    int memory_mb = 260;
};

daemon_place place_daemon(int index);

//! `target/bin/dandelionstep-entryd`, started as the deploy file says.
class daemon_process {
public:
    daemon_process(daemon_place place_in, const std::string& store, const std::string& folder);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    void start(bool is_first);
    void signal(int number) const;
    //! Whether it has ended, also by a signal.
    bool has_ended();
    //! Resident memory in MB; 0 when it isn't running.
    [[nodiscard]] double memory_mb() const;
    [[nodiscard]] bool is_ready() const;
    bool await_ready(std::int64_t within_ms) const;
    [[nodiscard]] const daemon_place& at() const { return this->place; }

private:
    daemon_place place;
    std::string settings;
    std::string log;
    std::string store_address;
    pid_t process = -1;
};

//! A replica of the model that holds all layers, as the pages describe it. A prompt with the deadly part ends
//! it when it would begin to write; it is back after some seconds, empty and under another id.
class engine {
public:
    engine(row_store& store_in, std::string name_in);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;

    //! What ran, and every crash; called from any thread.
    std::function<void(const std::string& what, const message& request)> on_event;
    std::string deadly_part;
    //! From its arrival until it begins to write.
    std::atomic<std::int64_t> prefill_ms{60};
    //! Ends it as a crash does.
    void crash() { this->has_crashed = true; }

private:
    void keep();
    void start();
    void beat();
    bool answer(connection& with, const message& request);
    bool answer_stream(connection& with, const message& request);
    std::string answer_order(const json& order);
    json report();

    row_store& store;
    std::string name;
    std::string id;
    std::int64_t lives = 0;
    std::int64_t born = 0;
    std::int64_t beats = 0;
    std::int64_t orders = 0;
    std::int64_t loaded_at = 0;
    std::int64_t layers_end = 0;
    std::atomic<int> running{0};
    std::atomic<bool> has_crashed{false};
    std::atomic<bool> is_closing{false};
    std::mutex guard;
    std::unique_ptr<server> port;
    std::thread keeper;
};

//! A request of a consumer on the streaming route; `parts` as in `Dandelionstep-Prompt-Prefix`.
std::string draft_request(const std::string& attempt, const std::string& parts);

//! The lines of `record.txt`, with the time since the beginning.
class record_file {
public:
    explicit record_file(const std::string& path) : out(path), began(now_ms()) {}
    void note(const std::string& line);

private:
    std::mutex guard;
    std::ofstream out;
    std::int64_t began;
};

//! The config of the small deployment: streams at `assistant`, orders and lookups at `orders`.
json usual_config();
//! The same with a streaming route to engines of 8 layers.
json config_with_engines();
//! A replica's entry in the store.
json replica_entry(const std::string& service, const std::string& address, std::int64_t sequence,
                   std::int64_t born, const std::string& state = "ready");

} // namespace review
