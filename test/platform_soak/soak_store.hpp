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

    /// Takes the copy from which `drill` restores the store.
    void take_copy();
    /// Restores the store from the copy. From then on, all answers carry an epoch, which rises by
    /// one with each drill.
    void drill();

    /// Values of the topic's records with this key, in the sequence in which they were appended.
    std::vector<std::string> values(const std::string& topic, const std::string& key) const;
    /// Whether a record of the topic contains the text.
    bool has_record(const std::string& topic, const std::string& part) const;

private:
    void append(const httplib::Request& request, httplib::Response& response);
    void read(const httplib::Request& request, httplib::Response& response);
    void newest(const httplib::Request& request, httplib::Response& response);
    // Adds the epoch to an answer; the caller holds the mutex.
    void set_epoch(httplib::Response& response) const;
    // Returns false if the response is complete because the store is in trouble.
    bool admit(httplib::Response& response);

    address m_address;
    mutable mutex m_mutex;
    condition m_changed;
    mode m_mode = mode::up;
    bool m_stopping = false;
    // Records without their length, by topic.
    std::map<std::string, std::vector<std::string>> m_topics;
    std::map<std::string, std::vector<std::string>> m_copy;
    // 0: answers carry no epoch.
    std::uint64_t m_epoch = 0;
    httplib::Server m_server;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::soak

#endif
