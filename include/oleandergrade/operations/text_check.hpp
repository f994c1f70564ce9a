/// Compares the texts of statements that callers sent with those that the
/// servers of a platform emulator received.
#pragma once

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/session_message.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleandergrade
{

/// A statement that a caller sends.
struct caller_statement
{
    std::string text;
    /// The text as a target must receive it, with the name of a prepared
    /// statement replaced by "(" PREPARED ")", where PREPARED is the text of
    /// the PREPARE from READ or WRITE on. Empty if a VM may answer the
    /// statement by itself.
    std::optional<std::string> text_at_target;
    /// Appended to the statement's identifier.
    std::string id_suffix;
};

/// Escapes all bytes but printable ASCII characters as in URLs. An empty text
/// becomes "%", so different texts stay different.
std::string escape_text(std::string_view text);

/// Keeps what callers sent and compares it with what the servers received. The
/// identifiers must be unique over all callers. Not thread-safe.
class text_check
{
public:
    /// Limit of the messages of each kind of violation; further ones are
    /// counted.
    static constexpr std::size_t max_messages = 10;

    /// Records a statement that is about to be sent. It must be valid in its
    /// session.
    void add_sent(const std::string& id, const caller_statement& statement);
    /// Records the answer to a sent statement.
    void add_answer(const std::string& id, session_error failure);

    /// Reads what the emulator's servers received since the last call, through
    /// its control interface, and compares it with what was sent.
    boost::asio::awaitable<result<bool>> collect(http_client& control);
    /// Passes over what was received before.
    boost::asio::awaitable<result<bool>> skip(http_client& control);
    /// Compares a page of the emulator's record, with lines of the form "NUMBER
    /// ID SERVER TEXT". Returns the number of its statements.
    std::size_t add_received(const std::string& page);

    /// Returns a message for each text that was received otherwise than it was
    /// sent, for each identifier that no caller sent, for each statement that
    /// succeeded and was not received, for each that was refused as invalid,
    /// and for gaps in the emulator's record. To be called after the last
    /// statement has been collected.
    std::vector<std::string> violations() const;
    /// The number of statements compared.
    std::uint64_t compared() const { return compared_; }

private:
    struct sent_statement
    {
        /// Escaped.
        std::string text;
        bool must_be_received = false;
        bool has_succeeded = false;
        bool is_received = false;
    };

    /// Reads from the control interface.
    boost::asio::awaitable<result<std::string>> read(http_client& control,
                                                     std::string path);
    void compare(const std::string& id, const std::string& server,
                 const std::string& text);

    /// Violations of one kind.
    struct violation_list
    {
        void add(const std::string& message);
        void append_to(std::vector<std::string>& all, const char* kind) const;

        std::uint64_t count = 0;
        std::vector<std::string> messages;
    };

    /// By escaped identifier.
    std::map<std::string, sent_statement> sent_;
    /// Number of the next statement in the emulator's record.
    std::uint64_t next_number_ = 0;
    std::uint64_t compared_ = 0;
    std::uint64_t missing_ = 0;
    violation_list changed_;
    violation_list unknown_;
    violation_list refused_;
};

} // namespace oleandergrade
