/// The interface towards database targets, and its HTTP implementation.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/request/statement.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace oleandergrade
{

/// What a target says of itself.
struct target_status
{
    std::uint64_t term = 0;
    bool primary = false;
    /// Address of the server it replicates from.
    std::string following;
    /// Last position in its log, and the term of that entry.
    std::uint64_t position = 0;
    std::uint64_t last_log_term = 0;
    /// Last position visible to reads.
    std::uint64_t applied = 0;
    /// Last position held by a majority in this term; primaries only.
    std::uint64_t confirmed = 0;
    /// Time since the target heard from its primary; none if never.
    std::optional<milliseconds> primary_contact_age;
    /// Answer to fence, promote and follow.
    bool granted = false;

    bool operator==(const target_status&) const = default;
};

/// Whether a status proves that a majority of the group holds a position, in
/// the term in which it was written.
bool confirms(const target_status& status, const log_position& written);

/// One database connection, which carries statements.
class target_connection
{
public:
    virtual ~target_connection() = default;

    /// Runs one statement. A refusal says "not run" only if nothing was
    /// sent or if the target says so.
    virtual boost::asio::awaitable<answer> execute(const statement& sent,
                                                   duration timeout) = 0;
    /// Connects ahead of the first statement.
    virtual boost::asio::awaitable<result<bool>> open(duration timeout) = 0;
    /// Whether the connection can be used again.
    virtual bool is_reusable() = 0;
};

/// Administrative commands to one target.
class target_control
{
public:
    virtual ~target_control() = default;

    virtual boost::asio::awaitable<result<target_status>>
    status(duration timeout) = 0;
    /// Waits on a primary until more than `confirmed` is confirmed in `term`.
    virtual boost::asio::awaitable<result<target_status>>
    progress(std::uint64_t term, std::uint64_t confirmed, milliseconds wait,
             duration timeout) = 0;
    virtual boost::asio::awaitable<result<target_status>>
    fence(std::uint64_t term, const std::string& coordinator,
          duration timeout) = 0;
    virtual boost::asio::awaitable<result<target_status>>
    promote(std::uint64_t term, const std::string& coordinator,
            duration timeout) = 0;
    virtual boost::asio::awaitable<result<target_status>>
    follow(std::uint64_t term, const std::string& primary_address,
           duration timeout) = 0;
};

/// Creates a connection that opens with its first statement.
std::unique_ptr<target_connection>
make_target_connection(const boost::asio::any_io_executor& executor,
                       const std::string& name, const std::string& address);

std::unique_ptr<target_control>
make_target_control(const boost::asio::any_io_executor& executor,
                    const std::string& address);

} // namespace oleandergrade
