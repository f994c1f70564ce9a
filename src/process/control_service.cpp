#include <oleandergrade/process/control_service.hpp>

#include <oleandergrade/process/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto part = "control";
constexpr auto tick_interval = milliseconds(20);
constexpr auto admission_interval = milliseconds(10);
constexpr auto heartbeat_timeout = milliseconds(1000);
constexpr auto announcement_timeout = milliseconds(500);
constexpr auto pull_timeout = milliseconds(2000);
constexpr auto apply_wait = milliseconds(5000);
constexpr auto apply_poll_interval = milliseconds(20);
constexpr auto configuration_key = "configuration";
constexpr auto groups_prefix = "groups/";

std::string lead_key(const std::string& failure_domain)
{
    return "leads/" + failure_domain;
}

} // namespace

control_service::control_service(process_context& context, owner_service& owner,
                                 bank_service& bank,
                                 admission_service& admission,
                                 const asio::any_io_executor& executor,
                                 peer_directory& peers)
    : context_(context), owner_(owner), bank_(bank), admission_(admission),
      executor_(executor), peers_(peers),
      platform_(make_platform_client(executor, context.own.platform_address,
                                     context.own.failure_domain)),
      plane_(
          {context.own.node, context.own.failure_domain, context.incarnation},
          clock::now()),
      failover_(context, executor,
                [this](const group_record& record) { announce(record); }),
      timers_(executor), random_(std::random_device()())
{
}

void control_service::start()
{
    timers_.subscribe(tick_interval, [this](time_point now) { tick(now); });
    timers_.subscribe(admission_interval,
                      [this](time_point now) { admission_.tick(now); });
}

void control_service::tick(time_point now)
{
    std::uniform_real_distribution<double> share(0, 1);
    for (const auto& action : plane_.tick(now, share(random_)))
        run(action);
    take_in_news();
    failover_.tick(now);
    const auto& election = plane_.election();
    bank_.update_lead(election.leading_since(), election.leads_until(), now);
    context_.view.use_freshness(plane_.freshness().state(now));
    const bool leads = plane_.leads(now);
    if (leads != led_before_)
        log(log_level::info, part,
            leads ? "this VM leads its failure domain"
                  : "this VM no longer leads its failure domain");
    led_before_ = leads;
    if (leads)
        context_.view.use_lead(context_.own.failure_domain, context_.own.node);
}

void control_service::run(const control_action& action)
{
    struct starter
    {
        control_service& service;

        void operator()(const election_action& action) const
        {
            asio::co_spawn(service.executor_, service.run_election(action.call),
                           asio::detached);
        }
        void operator()(const send_heartbeat_action& action) const
        {
            asio::co_spawn(service.executor_,
                           service.send_heartbeat(action.vm, action.state),
                           asio::detached);
        }
        void operator()(const read_platform_action&) const
        {
            if (!service.reading_platform_)
                asio::co_spawn(service.executor_, service.read_platform(),
                               asio::detached);
        }
    };
    std::visit(starter{*this}, action);
}

void control_service::take_in_news()
{
    struct receiver
    {
        control_service& service;

        void operator()(const newer_configuration& news) const
        {
            if (!service.pulling_)
                asio::co_spawn(service.executor_,
                               service.pull_configuration(news.vm),
                               asio::detached);
        }
        void operator()(const lead_change& news) const
        {
            service.context_.view.use_lead(news.failure_domain, news.vm);
        }
        void operator()(const vm_list_change& news) const
        {
            service.use_vms(news.list);
        }
        void operator()(const group_record& news) const
        {
            service.use_group(news);
        }
    };
    for (const auto& news : plane_.take_news())
        std::visit(receiver{*this}, news);
}

asio::awaitable<void> control_service::run_election(election_call call)
{
    const auto sent_at = clock::now();
    auto key = lead_key(context_.own.failure_domain);
    auto& election = plane_.election();
    if (call.what == election_call::kind::read)
    {
        const auto outcome = co_await platform_->get(std::move(key));
        election.on_read(outcome, clock::now());
        co_return;
    }
    if (call.what == election_call::kind::acquire)
    {
        const control_identity self{context_.own.node,
                                    context_.own.failure_domain,
                                    context_.incarnation};
        auto value = self.lease_value();
        const auto outcome = co_await platform_->compare_and_swap(
            std::move(key), 0, std::move(value), lead_election::lease_duration);
        election.on_acquired(outcome, sent_at, clock::now());
        co_return;
    }
    const auto outcome = co_await platform_->renew(
        std::move(key), call.revision, lead_election::lease_duration);
    election.on_renewed(outcome, sent_at, clock::now());
}

asio::awaitable<void> control_service::send_heartbeat(std::string vm,
                                                      heartbeat state)
{
    const auto vms = context_.view.vms();
    const auto* peer = vms->find(vm);
    if (peer == nullptr)
        co_return;
    const auto sent_at = clock::now();
    peer_body body = std::move(state);
    auto outcome =
        co_await peers_.call(*peer, std::move(body), heartbeat_timeout);
    if (!succeeded(outcome))
        co_return;
    if (const auto* reply = std::get_if<heartbeat_reply>(&value_of(outcome)))
        plane_.on_heartbeat_reply(vm, reply->state, sent_at);
    take_in_news();
}

asio::awaitable<void> control_service::read_platform()
{
    reading_platform_ = true;
    const bool answered = co_await read_configuration();
    if (answered)
    {
        co_await read_vms();
        co_await read_groups();
    }
    reading_platform_ = false;
}

// Reads the configuration if its revision has changed. Returns whether the
// platform answered.
asio::awaitable<bool> control_service::read_configuration()
{
    const auto sent_at = clock::now();
    const auto latest = co_await platform_->watch(
        configuration_key, configuration_revision_, milliseconds(0));
    if (!succeeded(latest))
        co_return false;
    if (value_of(latest) != configuration_revision_)
    {
        const auto found = co_await platform_->get(configuration_key);
        if (!succeeded(found))
            co_return false;
        if (value_of(found).revision == 0 ||
            use_configuration_record(value_of(found).value))
            configuration_revision_ = value_of(found).revision;
    }
    plane_.on_platform_read(context_.view.current_configuration()->version,
                            sent_at);
    co_return true;
}

asio::awaitable<void> control_service::read_vms()
{
    const auto text = co_await platform_->vms();
    if (!succeeded(text) || value_of(text) == context_.view.vms()->text)
        co_return;
    auto parsed = parse_vm_list(value_of(text));
    if (succeeded(parsed))
        use_vms(std::make_shared<const vm_list>(std::move(value_of(parsed))));
}

asio::awaitable<void> control_service::read_groups()
{
    const auto latest = co_await platform_->watch(
        groups_prefix, groups_revision_, milliseconds(0));
    if (!succeeded(latest) || value_of(latest) == groups_revision_)
        co_return;
    const auto values = co_await platform_->list(groups_prefix);
    if (!succeeded(values))
        co_return;
    const std::string prefix = groups_prefix;
    for (const auto& stored : value_of(values))
    {
        const auto record =
            parse_group_record(stored.key.substr(prefix.size()), stored.value);
        if (succeeded(record))
            use_group(value_of(record));
    }
    groups_revision_ = value_of(latest);
}

asio::awaitable<void> control_service::pull_configuration(std::string vm)
{
    pulling_ = true;
    const auto vms = context_.view.vms();
    const auto* peer = vms->find(vm);
    if (peer != nullptr)
    {
        peer_body body = configuration_request{
            context_.view.current_configuration()->version};
        auto outcome =
            co_await peers_.call(*peer, std::move(body), pull_timeout);
        if (succeeded(outcome))
        {
            const auto* reply =
                std::get_if<configuration_reply>(&value_of(outcome));
            if (reply != nullptr && reply->version > 0)
                use_configuration_record(reply->value);
        }
    }
    pulling_ = false;
}

bool control_service::use_configuration_record(const std::string& value)
{
    auto parsed = parse_configuration_record(value);
    if (!succeeded(parsed))
    {
        log(log_level::error, part, to_string(error_of(parsed)));
        return false;
    }
    const auto next =
        std::make_shared<const configuration>(std::move(value_of(parsed)));
    if (!context_.view.use_configuration(next))
        return true;
    configuration_record_ = value;
    plane_.use_configuration(next->version, next->failure_domains);
    bank_.use_configuration(*next);
    admission_.use_configuration(*next);
    owner_.refresh();
    failover_.refresh();
    log(log_level::info, part,
        "configuration version " + std::to_string(next->version) +
            " is in force");
    return true;
}

void control_service::use_vms(const std::shared_ptr<const vm_list>& list)
{
    context_.view.use_vms(list);
    plane_.use_vms(list);
    owner_.refresh();
    failover_.refresh();
    log(log_level::info, part,
        "the list of VMs has " + std::to_string(list->vms.size()) + " entries");
}

void control_service::use_group(const group_record& record)
{
    if (!context_.view.learn_group(record))
        return;
    log(log_level::info, part,
        record.database + " has term " + std::to_string(record.term) +
            (record.steady ? " with primary " + record.primary
                           : ", its primary is being decided"));
    plane_.use_group(record, clock::now());
    failover_.learn(record);
}

void control_service::announce(const group_record& record)
{
    use_group(record);
    const auto vms = context_.view.vms();
    for (const auto& peer : vms->vms)
        if (peer.id != context_.own.node)
            asio::co_spawn(executor_, send_announcement(peer, record),
                           asio::detached);
}

asio::awaitable<void> control_service::send_announcement(vm peer,
                                                         group_record record)
{
    peer_body body = group_announcement{std::move(record)};
    co_await peers_.call(peer, std::move(body), announcement_timeout);
}

asio::awaitable<peer_body> control_service::serve(peer_body body)
{
    if (const auto* state = std::get_if<heartbeat>(&body))
    {
        heartbeat_reply reply{plane_.on_heartbeat(*state, clock::now())};
        take_in_news();
        context_.view.use_freshness(plane_.freshness().state(clock::now()));
        co_return reply;
    }
    if (const auto* news = std::get_if<group_announcement>(&body))
    {
        use_group(news->record);
        co_return heartbeat_reply{};
    }
    if (const auto* request = std::get_if<configuration_request>(&body))
    {
        const auto version = context_.view.current_configuration()->version;
        if (version <= request->known_version)
            co_return configuration_reply{};
        co_return configuration_reply{version, configuration_record_};
    }
    co_return heartbeat_reply{};
}

asio::awaitable<result<std::uint64_t>>
control_service::apply(configuration next, std::uint64_t expected)
{
    // Before the first configuration there are no domains to hear from.
    const bool is_first = expected == 0;
    if (!is_first && !plane_.freshness().hears_majority(clock::now()))
        co_return error{error_kind::unreachable, "reach failure domains",
                        context_.own.failure_domain,
                        "this VM does not hear from a majority of the failure "
                        "domains; apply through another one"};
    const auto found = co_await platform_->get(configuration_key);
    if (!succeeded(found))
        co_return error_of(found);
    std::uint64_t current = 0;
    if (value_of(found).revision != 0)
    {
        const auto stored = parse_configuration_record(value_of(found).value);
        if (!succeeded(stored))
            co_return error_of(stored);
        current = value_of(stored).version;
    }
    if (current != expected)
        co_return error{error_kind::conflict, "compare versions", "platform",
                        "version " + std::to_string(current) +
                            " is in force, but the change was made from "
                            "version " +
                            std::to_string(expected)};
    next.version = current + 1;
    auto value = serialize_configuration(next);
    // What could not be read back would stop the whole fleet.
    const auto readable = parse_configuration_record(value);
    if (!succeeded(readable))
        co_return error_of(readable);
    const auto swapped = co_await platform_->compare_and_swap(
        configuration_key, value_of(found).revision, value, milliseconds(0));
    if (!succeeded(swapped))
    {
        // The answer may have been lost after the change took effect.
        const auto again = co_await platform_->get(configuration_key);
        if (!succeeded(again))
            co_return error{error_kind::timeout, "platform cas", "platform",
                            "the outcome is not known; look at the version "
                            "in force before trying again"};
        if (value_of(again).value != value)
            co_return error{error_kind::conflict, "platform cas", "platform",
                            "another operator's change came first; version " +
                                std::to_string(next.version) + " is theirs"};
    }
    use_configuration_record(value);
    if (!is_first && !co_await await_majority(next.version))
        co_return error{error_kind::timeout, "spread configuration", "",
                        "version " + std::to_string(next.version) +
                            " is accepted, but a majority of the failure "
                            "domains has not confirmed it yet"};
    co_return next.version;
}

asio::awaitable<bool> control_service::await_majority(std::uint64_t version)
{
    const auto deadline = clock::now() + apply_wait;
    const auto domains = context_.view.current_configuration()->failure_domains;
    while (clock::now() < deadline)
    {
        std::size_t confirmed = 1;
        for (const auto& vm : context_.view.vms()->vms)
        {
            if (vm.id == context_.own.node ||
                context_.view.lead_of(vm.failure_domain) != vm.id ||
                vm.failure_domain == context_.own.failure_domain)
                continue;
            peer_body body = configuration_request{version - 1};
            auto outcome =
                co_await peers_.call(vm, std::move(body), heartbeat_timeout);
            const auto* reply =
                succeeded(outcome)
                    ? std::get_if<configuration_reply>(&value_of(outcome))
                    : nullptr;
            if (reply != nullptr && reply->version >= version)
                ++confirmed;
        }
        if (confirmed > domains.size() / 2)
            co_return true;
        co_await sleep_for(apply_poll_interval);
    }
    co_return false;
}

json::object control_service::dump() const
{
    const auto now = clock::now();
    const auto& election = plane_.election();
    const auto freshness = plane_.freshness().state(now);
    json::object heard;
    for (const auto& domain :
         context_.view.current_configuration()->failure_domains)
        heard[domain] = plane_.freshness().heard_age(domain, now).count();
    json::array vms;
    for (const auto& entry : context_.view.vms()->vms)
        vms.push_back(json::object{{"id", entry.id},
                                   {"failure_domain", entry.failure_domain},
                                   {"leaving", entry.leaving}});
    json::array groups;
    for (const auto& record : context_.view.groups())
        groups.push_back(json::object{{"database", record.database},
                                      {"term", record.term},
                                      {"primary", record.primary},
                                      {"steady", record.steady}});
    const auto configuration = context_.view.current_configuration();
    return {{"node", context_.own.node},
            {"failure_domain", context_.own.failure_domain},
            {"incarnation", context_.incarnation},
            {"version", configuration->version},
            {"confirmation_age_ms", freshness.confirmation_age.count()},
            {"may_serve", freshness.may_serve},
            {"platform_outage", freshness.platform_outage},
            {"leads", election.leads(now)},
            {"in_overtime", election.is_in_overtime(now)},
            {"lead", context_.view.lead_of(context_.own.failure_domain)},
            {"platform_age_ms", plane_.freshness().platform_age(now).count()},
            {"majority_age_ms", plane_.freshness().majority_age(now).count()},
            {"heard_age_ms", std::move(heard)},
            {"vms", std::move(vms)},
            {"groups", std::move(groups)},
            {"coordinated", failover_.dump()}};
}

} // namespace oleandergrade
