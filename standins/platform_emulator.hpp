/// The users' platform on loopback: its store, its interface for promotions,
/// and replicated databases that speak its session protocol.
#pragma once

#include "group_model.hpp"
#include "store_model.hpp"

#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standins
{

/// Shape of the emulated platform.
struct emulator_settings
{
    unsigned short store_port = 0;
    unsigned short promotion_port = 0;
    /// Each server of each group takes one port, from here on.
    unsigned short first_server_port = 0;
    /// Names of the groups; "group-0" and "group-1" if empty.
    std::vector<std::string> groups;
    /// Servers register ports this much above their own: those of proxies.
    unsigned short advertised_offset = 0;
    unsigned servers_per_group = 3;
    unsigned slots = 3;
    unsigned connections = 21;
    oleandergrade::milliseconds work{3};
    oleandergrade::milliseconds lag{8};
    oleandergrade::milliseconds promotion_time{100};
};

/// What callers and servers saw that must never happen.
struct emulator_findings
{
    /// Statements for an account that is not declared, or with a key.
    std::uint64_t foreign_accounts = 0;
    std::uint64_t statements = 0;
    std::uint64_t connections = 0;
    std::uint64_t refused_connections = 0;
    std::uint64_t store_calls = 0;
};

/// All members run on one executor.
class platform_emulator
{
public:
    /// Throws boost::system::system_error if an address is taken.
    platform_emulator(boost::asio::io_context& context,
                      emulator_settings settings);
    ~platform_emulator();

    /// Writes a configuration. Its groups must be those of the settings.
    void put_configuration(const oleandergrade::route_table& table);
    /// The same with one route of each consistency per group, named
    /// "strict-N", "own-N" and "aged-N"; `keys` by account.
    void put_configuration(
        std::uint64_t version,
        const std::vector<std::pair<std::string, std::string>>& keys,
        unsigned rate);
    /// Carries out a fault by its name, such as "crash i-0-1" or
    /// "store-slow 250"; `fault_names` lists them. Errors: step "fault".
    oleandergrade::result<bool> apply_fault(const std::string& line);
    static std::vector<std::string> fault_names();

    /// The store does not answer while it is away.
    void set_store_away(bool away) { store_away_ = away; }
    /// Each answer of the store takes this long.
    void set_store_delay(oleandergrade::milliseconds delay)
    {
        store_delay_ = delay;
    }
    /// This share of the store's answers is lost after the call took effect.
    void set_lost_answers(double share) { lost_answers_ = share; }
    /// Answers to promotions are lost after they were ordered.
    void set_promotion_answers_lost(bool lost) { promotions_lost_ = lost; }
    /// Ends a server's sessions and refuses new ones.
    void crash(const std::string& server);
    void restart(const std::string& server);
    void set_draining(const std::string& server);
    /// A silent server takes connections and answers nothing.
    void set_silent(const std::string& server, bool silent);
    /// A deaf replica receives no commits.
    void set_deaf(const std::string& server, bool deaf);

    group_model& group(std::size_t index) { return *groups_[index]; }
    store_model& store() { return store_; }
    const emulator_findings& findings() const { return findings_; }
    /// Items and data in the log of a group's newest primary, a line each.
    std::string log_text(const std::string& group) const;
    std::string server_id(std::size_t group, std::size_t server) const;

private:
    struct server_state;
    struct server_session;
    struct known_fault;

    static const std::vector<known_fault>& known_faults();
    server_state* find_server(const std::string& id);
    group_model* find_group(const std::string& name);

    boost::asio::awaitable<oleandergrade::http_response>
    serve_store(oleandergrade::http_request request);
    boost::asio::awaitable<oleandergrade::http_response>
    answer_store(oleandergrade::http_request request);
    boost::asio::awaitable<oleandergrade::http_response>
    serve_watch(std::string prefix, std::uint64_t after,
                oleandergrade::milliseconds wait);
    oleandergrade::http_response serve_write(const std::string& body);
    boost::asio::awaitable<oleandergrade::http_response>
    serve_promotion(oleandergrade::http_request request);

    boost::asio::awaitable<void> accept_loop(server_state& server);
    boost::asio::awaitable<void>
    serve_session(server_state& server,
                  std::shared_ptr<server_session> session);
    boost::asio::awaitable<std::string>
    answer(server_state& server, server_session& session, std::string line);
    boost::asio::awaitable<std::string> run_statement(server_state& server,
                                                      server_session& session,
                                                      std::string text);
    std::string readiness(server_state& server, server_session& session);
    void register_server(server_state& server);
    /// Servers report a change of their role at once.
    void report_roles();

    boost::asio::io_context& context_;
    emulator_settings settings_;
    store_model store_;
    bool store_away_ = false;
    oleandergrade::milliseconds store_delay_{0};
    double lost_answers_ = 0;
    bool promotions_lost_ = false;
    std::minstd_rand random_;
    std::vector<std::unique_ptr<group_model>> groups_;
    std::vector<std::unique_ptr<server_state>> servers_;
    std::set<std::string> accounts_;
    emulator_findings findings_;
    std::unique_ptr<oleandergrade::http_server> store_server_;
    std::unique_ptr<oleandergrade::http_server> promotion_server_;
};

} // namespace standins
