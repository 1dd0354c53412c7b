#ifndef CHIVEDEAL_REQUESTS_RECLAIM_ACTION_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_ACTION_HPP

#include <string>

namespace chivedeal::requests {

/// What happens to a stream of a leaving endpoint.
enum class reclaim_action
{
    /// It ends before the endpoint is reclaimed.
    finish,
    /// Its KV cache is exported to the target, which goes on.
    export_kv,
    /// The target computes the prompt and the tokens so far anew and goes on.
    resume_tokens,
};

std::string to_string(reclaim_action value);

} // namespace chivedeal::requests

#endif
