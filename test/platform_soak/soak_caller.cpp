#include "test/platform_soak/soak_caller.hpp"

#include "test/platform_soak/request_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <utility>

namespace chivedeal::soak {

namespace {

constexpr int subjects = 20;
constexpr int max_answer_wait_s = 8;
constexpr absl::Duration pause_between_requests = absl::Milliseconds(15);

} // namespace

soak_caller::soak_caller(options settings)
    : m_options(std::move(settings)), m_random(m_options.seed)
{
    for (const soak_node* node : m_options.nodes) {
        auto client = std::make_unique<httplib::Client>(node->front().host, node->front().port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(1);
        client->set_read_timeout(max_answer_wait_s);
        m_clients.push_back(std::move(client));
    }
    m_thread = std::make_unique<posix_thread>("caller", [this] { run(); });
}

soak_caller::~soak_caller()
{
    m_stopping = true;
    m_thread.reset();
}

void soak_caller::run()
{
    while (!m_stopping) {
        send_request();
        absl::SleepFor(pause_between_requests);
    }
}

void soak_caller::send_request()
{
    const std::size_t index = m_random() % m_options.nodes.size();
    const soak_node& node = *m_options.nodes[index];
    const std::uint32_t kind = m_random() % 10;
    const bool is_stream = kind >= 5;
    const bool deadly = is_stream && m_random() % 1000 < 1000 * m_options.deadly_share.load();
    const ledger::sent_request request{.id = absl::StrCat(m_options.name, "-", ++m_sent),
                                       .node = node.name(),
                                       .sent_at = absl::Now(),
                                       .deadly = deadly,
                                       .repeatable = kind >= 3 && kind < 5};
    const char* path = is_stream ? "/chat/x" : request.repeatable ? "/get/x" : "/app/x";
    const httplib::Result result = call(*m_clients[index], request, path);
    record(request, result, is_stream ? stream_body(request.id) : plain_body(request.id), node);
}

httplib::Result soak_caller::call(httplib::Client& client, const ledger::sent_request& request,
                                  const std::string& path)
{
    const std::string prefix =
        absl::StrCat("system:50,subject", m_random() % subjects, ":30,",
                     request.deadly ? "deadly:10," : "", "own-", request.id, ":10");
    return client.Post(path, format_headers(request, prefix), "body", "text/plain");
}

void soak_caller::record(const ledger::sent_request& request, const httplib::Result& result,
                         const std::string& expected_body, const soak_node& node)
{
    if (!result) {
        if (node.is_stopping_gracefully() && result.error() == httplib::Error::Read)
            m_options.promises.on_cut_off_by_graceful_stop(request,
                                                           expected_body != plain_body(request.id));
        return m_options.promises.on_answer(request, 0, false, absl::Now());
    }
    const absl::Time now = absl::Now();
    m_options.promises.on_answer(request, result->status, result->body == expected_body, now);
    if (result->has_header("Server-Leaving"))
        m_options.promises.on_leaving_passed_on(node.name(),
                                                result->get_header_value("Server-Stamp"), now);
}

} // namespace chivedeal::soak
