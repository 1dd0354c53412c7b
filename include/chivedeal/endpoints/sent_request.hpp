#ifndef CHIVEDEAL_ENDPOINTS_SENT_REQUEST_HPP
#define CHIVEDEAL_ENDPOINTS_SENT_REQUEST_HPP

namespace chivedeal::endpoints {

/// What determined the time to the first byte of a request when it was sent.
struct sent_request
{
    /// Cost of the prompts that the endpoint reads until then, this request's included, in the unit
    /// of `endpoint_choice::prefill_cost_tokens`.
    double prompt_cost_tokens = 0;
    /// Requests at the endpoint, without this one.
    int requests = 0;

    friend bool operator==(const sent_request&, const sent_request&) = default;
};

} // namespace chivedeal::endpoints

#endif
