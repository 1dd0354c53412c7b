#ifndef CHIVEDEAL_FORWARD_RETRY_RULE_HPP
#define CHIVEDEAL_FORWARD_RETRY_RULE_HPP

#include "chivedeal/forward/attempt_outcome.hpp"

namespace chivedeal::forward {

/// Tracks the attempts of one request and decides whether another attempt is allowed.
///
/// An attempt counts as possibly run from the time it is sent until the endpoint refuses it. A
/// refused attempt is known not to have run, and no later attempt changes that. `may_have_run` is
/// false only if every attempt that was sent has been refused.
class retry_rule
{
public:
    struct options
    {
        /// Maximum number of endpoints to which the request is sent.
        int max_attempts = 1;
        /// Whether the request may run more than once.
        bool may_repeat = false;
    };

    explicit retry_rule(options limits) : m_options(limits) {}

    /// Records that the first byte of an attempt was sent.
    void on_sent() { ++m_attempts_sent; }

    void on_outcome(attempt_outcome outcome);

    /// Rules out further attempts, because the request is not kept.
    void end_attempts() { m_options.max_attempts = m_attempts_sent; }

    /// Whether another endpoint may be tried after any outcome of the attempt in progress.
    bool has_attempts_left() const { return m_attempts_sent < m_options.max_attempts; }

    /// Whether another endpoint may be tried. Attempts that were never sent don't count.
    bool may_retry() const;

    /// Whether an earlier attempt was sent, so that the next one draws on the retry budget.
    bool is_retry() const { return m_attempts_sent > 0; }

    /// Whether an endpoint may have run the request. If so, the caller must not be told that the
    /// request did not run.
    bool may_have_run() const { return m_attempts_sent > m_known_not_run; }

    int attempts_sent() const { return m_attempts_sent; }

private:
    options m_options;
    int m_attempts_sent = 0;
    int m_known_not_run = 0;
};

} // namespace chivedeal::forward

#endif
