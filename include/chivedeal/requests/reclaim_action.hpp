#ifndef CHIVEDEAL_REQUESTS_RECLAIM_ACTION_HPP
#define CHIVEDEAL_REQUESTS_RECLAIM_ACTION_HPP

#include <string>

namespace chivedeal::requests {

/// How a stream on a leaving endpoint is handled.
enum class reclaim_action
{
    /// The stream stays and ends before the endpoint is reclaimed.
    finish,
    /// The KV cache is exported to the target, which continues the stream.
    export_kv,
    /// The target recomputes the prompt and the tokens so far, then continues the stream.
    resume_tokens,
};

std::string to_string(reclaim_action value);

} // namespace chivedeal::requests

#endif
