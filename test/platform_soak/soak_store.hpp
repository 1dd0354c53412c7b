#ifndef TEST_PLATFORM_SOAK_SOAK_STORE_HPP
#define TEST_PLATFORM_SOAK_SOAK_STORE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/condition.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/core/posix_thread.hpp"

#include <httplib.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal::soak {

/// Stand-in of the platform's store: topics of one partition in memory, served over HTTP.
class soak_store
{
public:
    enum class mode
    {
        up,
        /// Answers 503.
        rejecting,
        /// Answers nothing for a while.
        silent,
        /// Carries out appends, and closes the connection without an answer.
        losing_answers,
    };

    explicit soak_store(int nodes);
    ~soak_store();
    soak_store(const soak_store&) = delete;
    soak_store& operator=(const soak_store&) = delete;

    const address& listen_address() const { return m_address; }

    void set_mode(mode value);
    bool is_up() const;
    /// Appends a record; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

private:
    void append(const httplib::Request& request, httplib::Response& response);
    void read(const httplib::Request& request, httplib::Response& response);
    void newest(const httplib::Request& request, httplib::Response& response);
    // Returns false if the response is complete because the store is in trouble.
    bool admit(httplib::Response& response);

    address m_address;
    mutable mutex m_mutex;
    condition m_changed;
    mode m_mode = mode::up;
    bool m_stopping = false;
    // Records without their length, by topic.
    std::map<std::string, std::vector<std::string>> m_topics;
    httplib::Server m_server;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::soak

#endif
