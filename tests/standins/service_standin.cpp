#include "service_standin.hpp"

#include "adapters/http_server.hpp"
#include "common/json.hpp"
#include "faults.hpp"

#include <csignal>
#include <iostream>
#include <map>
#include <unistd.h>

namespace dandelionstep::standins {
namespace {

class service_standin {
public:
    explicit service_standin(const service_options& options)
        : options(options),
          server(loop, [this](const received_request& request, const std::shared_ptr<http_reply>& reply) {
              this->receive(request, reply);
          })
    {}

    absl::Status run()
    {
        const auto port = this->server.listen(this->options.listen);
        if (!port.ok()) {
            return port.status();
        }
        std::cout << "port=" << *port << std::endl;
        const event_loop::timer terminate = this->loop.on_signal(SIGTERM, [this] { this->loop.stop(); });
        this->loop.run();
        return absl::OkStatus();
    }

private:
    void receive(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.handle(request, reply)) {
            return;
        }
        if (request.path == "/ledger") {
            reply->send(200, dump({{"orders", this->executions},
                                   {"lookups", this->lookups},
                                   {"requests", this->requests},
                                   {"received", this->received}}));
            return;
        }
        if (request.path == "/v1/load") {
            reply->send(200, dump({{"incarnation", this->incarnation},
                                   {"running", this->running},
                                   {"queued", 0},
                                   {"leaving", this->faults.on("leaving")}}));
            return;
        }
        ++this->running;
        ++this->received;
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_after({this->faults.number("delay_ms")}, [this, request, reply, timer] {
            *timer = {};
            --this->running;
            this->answer(request, reply);
        });
    }

    void answer(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.take("drop_requests")) {
            reply->drop();
            return;
        }
        if (this->faults.take("refuse")) {
            reply->add_header("Outcome", "not_run");
            reply->send(503, R"({"error":"refused"})");
            return;
        }
        if (this->faults.take("fail")) {
            reply->send(500, R"({"error":"failed"})");
            return;
        }
        if (request.method == "POST" && !request.header("Idempotency-Key").empty()) {
            this->take_order(request, reply);
            return;
        }
        ++this->lookups;
        ++this->requests[request.header("X-Request-Id")];
        if (this->faults.take("drop_answers")) {
            reply->drop();
            return;
        }
        reply->send(200, dump({{"service", this->options.name}, {"lookup", request.path}}));
    }

    void take_order(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.take("die_before_effect")) {
            _exit(1);
        }
        const std::string key = request.header("X-Organisation") + "/" + request.header("Idempotency-Key");
        const std::int64_t count = ++this->executions[key];
        ++this->requests[request.header("X-Request-Id")];
        if (this->faults.take("die_after_effect")) {
            _exit(1);
        }
        if (this->faults.take("drop_answers")) {
            reply->drop();
            return;
        }
        const std::string body =
            dump({{"service", this->options.name}, {"order", key}, {"executions", count}}) +
            std::string(static_cast<std::size_t>(this->faults.number("answer_padding")), ' ');
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_after({this->faults.number("answer_delay_ms")}, [reply, body, timer] {
            *timer = {};
            reply->send(200, body);
        });
    }

    service_options options;
    event_loop loop;
    fault_switches faults;
    http_server server;
    std::map<std::string, std::int64_t> executions;
    //! How often each request of the router ran, orders and lookups.
    std::map<std::string, std::int64_t> requests;
    std::int64_t lookups = 0;
    std::int64_t running = 0;
    std::int64_t received = 0;
    std::int64_t incarnation = event_loop::wall_now().count;
};

} // namespace

absl::Status run_service(const service_options& options)
{
    return service_standin(options).run();
}

} // namespace dandelionstep::standins
