/// Membership, leadership of the failure domain and freshness of one VM. Pure
/// decision logic.
#pragma once

#include <oleandergrade/process/configuration_freshness.hpp>
#include <oleandergrade/process/heartbeat.hpp>
#include <oleandergrade/process/lead_election.hpp>
#include <oleandergrade/version/vm_list.hpp>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// Make a platform call for the election.
struct election_action
{
    election_call call;
};

/// Send a heartbeat; answered by `on_heartbeat_reply` or not at all.
struct send_heartbeat_action
{
    std::string vm;
    heartbeat state;
};

/// Read configuration, VM list and group records from the platform.
struct read_platform_action
{
};

using control_action =
    std::variant<election_action, send_heartbeat_action, read_platform_action>;

/// A peer holds a later configuration.
struct newer_configuration
{
    std::string vm;
    std::uint64_t version = 0;
};

/// A failure domain is led by another VM than before.
struct lead_change
{
    std::string failure_domain;
    std::string vm;
};

/// A lead sent another list of VMs.
struct vm_list_change
{
    std::shared_ptr<const vm_list> list;
};

using control_news = std::variant<newer_configuration, lead_change,
                                  vm_list_change, group_record>;

/// Who a control plane speaks for.
struct control_identity
{
    std::string node;
    std::string failure_domain;
    std::uint64_t incarnation = 0;

    /// Value of the lease; unique for each run of a process.
    std::string lease_value() const;
};

/// One VM per failure domain, the lead, reads the platform and sends
/// heartbeats to the VMs of its domain and to the other leads. The other VMs
/// read the platform only while their lead is silent. Not synchronized.
class control_plane
{
public:
    control_plane(control_identity identity, time_point now);

    void use_configuration(std::uint64_t version,
                           const std::vector<std::string>& domains);
    void use_vms(std::shared_ptr<const vm_list> list);
    /// Takes in a group record that is new to this VM.
    void use_group(const group_record& record, time_point now);

    std::vector<control_action> tick(time_point now, double random);

    /// Takes in a heartbeat and returns the reply to it.
    heartbeat on_heartbeat(const heartbeat& state, time_point now);
    void on_heartbeat_reply(const std::string& vm, const heartbeat& reply,
                            time_point sent_at);
    /// The platform answered a read sent at `sent_at`.
    void on_platform_read(std::uint64_t latest_version, time_point sent_at);

    lead_election& election() { return election_; }
    const lead_election& election() const { return election_; }
    const configuration_freshness& freshness() const { return freshness_; }
    bool leads(time_point now) const { return election_.leads(now); }

    /// What has been learned since the last call.
    std::vector<control_news> take_news();

private:
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t clock = 0;
        directory_digests held;
        time_point next_heartbeat;
        /// The last record sent in rotation.
        std::string last_group;
    };

    heartbeat make_state(time_point now);
    heartbeat make_heartbeat(const std::string& vm, time_point now);
    std::vector<std::string> heartbeat_receivers(time_point now);
    duration heartbeat_interval() const;
    void update_leads_digest();
    std::string receiver_in(const std::string& failure_domain,
                            const std::vector<std::string>& members);
    void add_groups(heartbeat& state, peer_state& peer, time_point now);
    void take_in_common(const std::string& vm, const heartbeat& state);
    void learn_lead(const std::string& failure_domain, const std::string& lead);
    time_point echoed_instant(const heartbeat& state, time_point now) const;

    control_identity identity_;
    time_point started_at_;
    lead_election election_;
    configuration_freshness freshness_;
    std::uint64_t version_ = 0;
    std::shared_ptr<const vm_list> vms_;
    directory_digests held_;
    /// The other VMs of the own domain, and those of each other domain.
    std::vector<std::string> neighbours_;
    std::map<std::string, std::vector<std::string>> others_;
    std::map<std::string, group_record> groups_;
    /// Databases whose records changed a short time ago.
    std::map<std::string, time_point> group_changes_;
    std::map<std::string, std::string> leads_;
    std::map<std::string, std::size_t> rotation_;
    std::map<std::string, peer_state> peers_;
    time_point next_platform_read_;
    std::vector<control_news> news_;
};

} // namespace oleandergrade
