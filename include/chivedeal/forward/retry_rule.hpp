#ifndef CHIVEDEAL_FORWARD_RETRY_RULE_HPP
#define CHIVEDEAL_FORWARD_RETRY_RULE_HPP

#include "chivedeal/forward/attempt_outcome.hpp"

namespace chivedeal::forward {

/// Tracks what is known of one request's runs and says what may still be done with it.
///
/// A refusal is final: no later attempt changes it. `may_have_run` never turns false again, except
/// that a request whose every attempt was refused has certainly not run.
class retry_rule
{
public:
    struct options
    {
        /// Endpoints to which the request may be sent.
        int attempts = 1;
        /// Whether it may run more than once.
        bool may_repeat = false;
    };

    explicit retry_rule(options limits) : m_options(limits) {}

    /// An attempt begins: its first byte is about to leave.
    void on_sent() { ++m_sent; }

    void on_outcome(attempt_outcome outcome);

    /// Whether another endpoint may be tried. Attempts that never left don't count.
    bool may_retry() const;

    /// Whether the next attempt repeats one that reached an endpoint, and so draws on the budget.
    bool is_repeat() const { return m_sent > 0; }

    /// Whether an endpoint may have run the request. A caller is told "not run" only if not.
    bool may_have_run() const { return m_sent > m_certainly_not_run; }

    int sent() const { return m_sent; }

private:
    options m_options;
    int m_sent = 0;
    int m_certainly_not_run = 0;
};

} // namespace chivedeal::forward

#endif
