// Stand-in of a plain service: counts each run by request ID and by key.

#include "fakes/stand_in/stand_in.hpp"

#include <atomic>
#include <thread>

namespace {

using namespace chivedeal::fakes; // NOLINT(google-build-using-namespace)

constexpr const char* json_type = "application/json";

class plain_service
{
public:
    void install(httplib::Server& server)
    {
        m_faults.install(server);
        server.Post("/v1/call", [this](const auto& request, auto& answer) {
            ++m_running;
            call(request, answer);
            --m_running;
        });
        server.Get("/v1/load", [this](const auto&, auto& answer) {
            answer.set_content(json{{"running", m_running.load()},
                                    {"queued", 0},
                                    {"slots", 64},
                                    {"kv_used", 0},
                                    {"kv_limit", 0},
                                    {"tokens_per_s", 0},
                                    {"age_ms", 0},
                                    {"version", ""}}
                                   .dump(),
                               json_type);
        });
        server.Get("/runs", [this](const auto&, auto& answer) {
            answer.set_content(
                json{{"requests", m_requests.counts()}, {"keys", m_keys.counts()}}.dump(),
                json_type);
        });
    }

private:
    void call(const httplib::Request& request, httplib::Response& answer)
    {
        if (m_faults.is_set("refuse_start")) {
            answer.status = 503;
            answer.set_content(json{{"not_started", true}}.dump(), json_type);
            return;
        }
        const std::string id = request.get_header_value("Request-Id");
        m_requests.add(id);
        if (request.has_header("Idempotency-Key"))
            m_keys.add(request.get_header_value("Idempotency-Key"));
        std::this_thread::sleep_for(
            std::chrono::milliseconds(static_cast<int>(m_faults.number("slow_ms"))));
        const json body = json::parse(request.body, nullptr, false);
        if (m_faults.fails(body.is_object() ? body.value("route", "") : "")) {
            answer.status = 500;
            return;
        }
        if (m_faults.is_set("lose_answer")) {
            // The effect took place; the connection breaks before any byte of the body.
            answer.set_content_provider(1, json_type,
                                        [](std::size_t, std::size_t, auto&) { return false; });
            return;
        }
        answer.set_content(json{{"request", id}, {"done", true}}.dump(), json_type);
    }

    fault_table m_faults;
    run_counter m_requests;
    run_counter m_keys;
    std::atomic<int> m_running = 0;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    stand_in_options self;
    po::options_description flags;
    add_options(flags, self);
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    }
    catch (const po::error& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
    httplib::Server server;
    plain_service service;
    service.install(server);
    return serve(server, self, "plain");
}
