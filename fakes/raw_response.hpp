#ifndef FAKES_RAW_RESPONSE_HPP
#define FAKES_RAW_RESPONSE_HPP

#include <string>

namespace chivedeal::fakes {

/// What a raw endpoint sends in response to a request, and what it does then.
struct raw_response
{
    enum class next
    {
        keep_open,
        close,
        /// Sends the end of its output; reads nothing more on the connection, which stays open.
        end_output,
        /// Reads and sends nothing more on the connection, which stays open.
        go_silent,
        /// Closes all connections and the listener.
        crash,
        /// Repeats `filler` until the peer closes the connection.
        send_forever,
        /// The same, with a pause before each repetition.
        send_slowly,
        /// Sends `filler` `repetitions` times with a pause before each, then `last`, and reads the
        /// next request.
        send_events,
    };

    std::string bytes;
    next then = next::keep_open;
    std::string filler;
    int repetitions = 0;
    std::string last;

    friend bool operator==(const raw_response&, const raw_response&) = default;
};

} // namespace chivedeal::fakes

#endif
