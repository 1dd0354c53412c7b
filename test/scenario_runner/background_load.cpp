#include "test/scenario_runner/background_load.hpp"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace chivedeal::scenario {

background_load::background_load(options start) : m_options(std::move(start))
{
    for (int i = 0; i < m_options.threads; ++i)
        m_threads.push_back(std::make_unique<posix_thread>("load", [this, i] { run(i); }));
}

background_load::~background_load()
{
    m_stop = true;
    for (const auto& thread : m_threads)
        thread->join();
}

void background_load::run(int thread)
{
    // Callers spread over the nodes as they would by the address list.
    auto wiring = m_options.client;
    std::rotate(wiring.addresses.begin(),
                wiring.addresses.begin() + thread % static_cast<int>(wiring.addresses.size()),
                wiring.addresses.end());
    operators::caller_client client(std::move(wiring));
    for (int i = 0; !m_stop; ++i) {
        auto call = m_options.call;
        nlohmann::json body = nlohmann::json::parse(call.body);
        body["prompt"] = absl::StrCat("load ", thread, " ", i);
        call.body = body.dump();
        client.send(call, [](std::uint64_t, const std::string&) {});
    }
}

} // namespace chivedeal::scenario
