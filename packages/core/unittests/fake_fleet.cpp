// Setup and simulation steps of the fake fleet. Injected faults are implemented
// in fake_fleet_faults.cpp.
#include "fake_node.hpp"
#include "test_keys.hpp"

#include <boost/random/uniform_int_distribution.hpp>

namespace sycamorelock::core::testing
{

namespace
{

constexpr duration step = std::chrono::milliseconds(10);
constexpr duration tick_period = std::chrono::milliseconds(50);
/// Wall-clock time at the origin of the simulated clock, in milliseconds since
/// the Unix epoch.
constexpr std::int64_t wall_base_ms = 1'700'000'000'000;

} // namespace

fake_fleet::fake_fleet(fleet_options chosen)
    : plan_(std::move(chosen)), random_(static_cast<std::uint32_t>(plan_.seed))
{
    const std::size_t count = plan_.domains * plan_.instances_per_domain;
    for (std::size_t i = 0; i < count; ++i)
    {
        nodes_.push_back(std::make_unique<fake_node>());
        nodes_[i]->domain = i / plan_.instances_per_domain;
        nodes_[i]->name = "n" + std::to_string(i);
    }
    newest_list_ = make_membership({});
    for (std::size_t i = 0; i < count; ++i)
        start(i);
}

fake_fleet::~fake_fleet() = default;

bool fake_fleet::running(std::size_t index) const
{
    return nodes_.at(index)->live && !nodes_.at(index)->paused;
}

const control_state& fake_fleet::state(std::size_t index) const
{
    return nodes_.at(index)->core->state();
}

account_id fake_fleet::account(std::size_t index)
{
    return account_id::of("account" + std::to_string(index));
}

domain_id fake_fleet::domain(std::size_t index)
{
    return domain_id::of("d" + std::to_string(index));
}

std::string fake_fleet::endpoint_name(std::size_t domain, std::size_t endpoint)
{
    return "planner/" + std::to_string(domain) + '-' + std::to_string(endpoint);
}

void fake_fleet::hide_endpoint(std::size_t index, std::size_t domain,
                               std::size_t endpoint)
{
    hidden_endpoints_.emplace(index,
                              endpoint_id::of(endpoint_name(domain, endpoint)));
}

topology fake_fleet::make_topology() const
{
    topology config;
    config.version = {1, 1};
    for (std::size_t i = 0; i < plan_.accounts; ++i)
    {
        account_spec spec;
        spec.id = account(i);
        spec.name = "account" + std::to_string(i);
        if (i < plan_.weights.size())
            spec.weight = plan_.weights[i];
        config.accounts[spec.id] = spec;
    }
    service_spec service;
    service.id = service_id::of("planner");
    service.name = "planner";
    for (std::size_t d = 0; d < plan_.domains; ++d)
    {
        for (std::size_t e = 0; e < plan_.endpoints_per_domain; ++e)
        {
            endpoint_spec spec;
            spec.name = endpoint_name(d, e);
            spec.id = endpoint_id::of(spec.name);
            spec.domain = domain(d);
            spec.slots = plan_.slots;
            service.endpoints.push_back(spec);
        }
    }
    config.services[service.id] = service;
    return config;
}

membership
fake_fleet::make_membership(const std::set<std::size_t>& without) const
{
    membership list;
    list.version = list_version_;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (without.contains(i))
            continue;
        member item;
        item.name = nodes_[i]->name;
        item.id = instance_id::of(item.name);
        item.domain = domain(nodes_[i]->domain);
        list.members[item.id] = item;
    }
    return list;
}

moment fake_fleet::current_moment() const
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch());
    return {now_, wall_time(wall_base_ms + ms.count())};
}

void fake_fleet::start(std::size_t index)
{
    fake_node& target = *nodes_[index];
    target.live = true;
    target.paused = false;
    target.incarnation = (random_() | 1U);
    target.sequence = 0;
    target.last_batch_received.clear();
    target.results.clear();
    target.out = {this, index};
    target.next_tick = now_;
    node_options options;
    options.self = instance_id::of(target.name);
    options.domain = domain(target.domain);
    options.incarnation = target.incarnation;
    options.seed = target.incarnation;
    options.mode = plan_.mode;
    target.core = std::make_unique<node<fake_node::sink>>(
        options, current_moment(), target.out);
    target.core->handle(
        current_moment(),
        [&](control_state& s)
        {
            s.install_membership(current_moment(), newest_list_, "list");
            s.install_config(current_moment(), make_topology(), "tree");
        });
}

bool fake_fleet::random_event(unsigned percent)
{
    boost::random::uniform_int_distribution<unsigned> draw(0, 99);
    return draw(random_) < percent;
}

bool fake_fleet::reachable(std::size_t from, std::size_t to) const
{
    const std::size_t a = nodes_[from]->domain;
    const std::size_t b = nodes_[to]->domain;
    return a == b || (!cut_.contains(a) && !cut_.contains(b));
}

void fake_fleet::on_send(std::size_t from, instance_id to,
                         std::vector<peer_message> messages)
{
    fake_node& sender = *nodes_[from];
    packet sent{now_ + plan_.network_delay, from, sender.incarnation,
                ++sender.sequence,          to,   std::move(messages)};
    if (random_event(fault_chances_.drop))
        return;
    if (random_event(fault_chances_.slow))
        sent.due += std::chrono::milliseconds(700);
    if (random_event(fault_chances_.duplicate))
        packets_.push_back(sent);
    packets_.push_back(std::move(sent));
}

void fake_fleet::deliver()
{
    std::deque<packet> due;
    std::deque<packet> later;
    for (packet& each : packets_)
        (each.due <= now_ ? due : later).push_back(std::move(each));
    packets_.swap(later);
    for (packet& each : due)
    {
        std::size_t to = 0;
        while (to < nodes_.size() &&
               instance_id::of(nodes_[to]->name) != each.to)
            ++to;
        if (to == nodes_.size() || !nodes_[to]->live)
            continue;
        if (!reachable(each.from, to))
            continue;
        fake_node& receiver = *nodes_[to];
        if (receiver.paused)
        {
            // Kept, as in the socket's buffer, until the process resumes.
            packets_.push_back(std::move(each));
            continue;
        }
        auto& last_seen = receiver.last_batch_received[each.from];
        const bool replayed = last_seen.first == each.incarnation &&
                              each.sequence <= last_seen.second;
        if (replayed)
            continue;
        last_seen = {each.incarnation, each.sequence};
        receiver.core->handle(
            current_moment(),
            [&](control_state& s)
            {
                for (const peer_message& content : each.messages)
                    s.receive(current_moment(),
                              instance_id::of(nodes_[each.from]->name),
                              each.incarnation, content);
            });
    }
}

void fake_fleet::begin_attempt(std::size_t from, const dispatch& command)
{
    outcome& recorded = outcomes_.at(command.request);
    running_attempt started;
    started.node = from;
    started.incarnation = nodes_[from]->incarnation;
    started.account = recorded.spec.account;
    started.result.request = command.request;
    started.result.attempt = command.attempt;
    std::optional<attempt_end> send_failure;
    const bool routed = !hidden_endpoints_.contains({from, command.endpoint});
    if (!routed || now_ >= command.valid_until ||
        random_event(fault_chances_.nothing_sent))
        send_failure = attempt_end::nothing_sent;
    else if (random_event(fault_chances_.not_connected))
        send_failure = attempt_end::not_connected;
    if (send_failure)
    {
        started.result.end = *send_failure;
        started.done = now_ + step;
        attempts_.push_back(started);
        return;
    }
    ++recorded.runs;
    boost::random::uniform_int_distribution<std::int64_t> draw(
        plan_.min_attempt_cost, plan_.max_attempt_cost);
    const std::int64_t total = draw(random_);
    started.result.total = cost(total);
    started.result.end = random_event(fault_chances_.fails)
                             ? attempt_end::failed_before_answer
                             : attempt_end::completed;
    started.done = now_ + plan_.time_per_cost * total;
    attempts_.push_back(started);
}

void fake_fleet::on_action(std::size_t from, const action& what)
{
    if (const auto* command = std::get_if<dispatch>(&what))
        return begin_attempt(from, *command);
    const auto* refusal = std::get_if<refuse>(&what);
    if (refusal == nullptr)
        return;
    outcome& recorded = outcomes_.at(refusal->request);
    ++recorded.refused;
    recorded.ran = refusal->ran;
    recorded.reason = refusal->reason;
}

void fake_fleet::finish_attempts()
{
    std::vector<running_attempt> left;
    std::vector<running_attempt> done;
    for (running_attempt& each : attempts_)
        (each.done <= now_ ? done : left).push_back(each);
    attempts_.swap(left);
    for (const running_attempt& each : done)
    {
        fake_node& owner = *nodes_[each.node];
        service_[each.account] += each.result.total.value();
        if (!owner.live || owner.incarnation != each.incarnation)
            continue;
        if (owner.paused)
            owner.results.push_back(each.result);
        else
            apply_result(owner, each.result);
    }
}

void fake_fleet::apply_result(fake_node& owner, const attempt_result& result)
{
    if (result.end == attempt_end::completed)
        ++outcomes_.at(result.request).completed;
    owner.core->handle(current_moment(), [&](control_state& s)
                       { s.finish(current_moment(), result); });
}

void fake_fleet::deliver_membership()
{
    for (auto it = pending_lists_.begin(); it != pending_lists_.end();)
    {
        const bool ready = it->due <= now_ && nodes_[it->node]->live &&
                           !nodes_[it->node]->paused;
        if (!ready)
        {
            ++it;
            continue;
        }
        nodes_[it->node]->core->handle(
            current_moment(), [&](control_state& s)
            { s.install_membership(current_moment(), it->list, "list"); });
        it = pending_lists_.erase(it);
    }
}

void fake_fleet::advance(duration length)
{
    const time_point end = now_ + length;
    while (now_ < end)
    {
        now_ += step;
        deliver_membership();
        deliver();
        finish_attempts();
        for (const auto& each : nodes_)
        {
            if (!each->live || each->paused || now_ < each->next_tick)
                continue;
            each->next_tick = now_ + tick_period;
            each->core->handle(current_moment(), [&](control_state& s)
                               { s.tick(current_moment()); });
        }
    }
}

request_id fake_fleet::submit(std::size_t entry, std::size_t account_index,
                              bool idempotent,
                              std::optional<idempotency_key> key,
                              std::uint8_t urgency,
                              std::chrono::milliseconds deadline)
{
    fake_node& target = *nodes_.at(entry);
    submission request;
    request.id = {instance_id::of(target.name), target.incarnation,
                  next_request_++};
    request.account = account(account_index);
    request.service = service_id::of("planner");
    request.idempotent = idempotent;
    request.key = key;
    request.urgency = urgency;
    request.deadline = deadline;
    outcome submitted;
    submitted.spec = request;
    submitted.entry = entry;
    outcomes_.emplace(request.id, submitted);
    target.core->handle(current_moment(), [&](control_state& s)
                        { s.submit(current_moment(), request); });
    return request.id;
}

idempotency_key fake_fleet::make_key(std::size_t account_index,
                                     std::uint64_t number)
{
    return make_key_at(account(account_index), current_moment().wall, number);
}

int fake_fleet::events(event_number number) const
{
    const auto found = events_.find(number);
    return found == events_.end() ? 0 : found->second;
}

std::int64_t fake_fleet::ended_cost_of(std::size_t index) const
{
    const auto found = service_.find(account(index));
    return found == service_.end() ? 0 : found->second;
}

std::uint32_t fake_fleet::used_slots() const
{
    std::uint32_t total = 0;
    for (const auto& each : nodes_)
    {
        if (!each->live)
            continue;
        for (const shard_scheduler* shard : each->core->state().schedulers())
            total += shard->used_slots();
    }
    return total;
}

std::size_t fake_fleet::open_requests() const
{
    std::size_t total = 0;
    for (const auto& each : nodes_)
    {
        if (each->live)
            total += each->core->state().requests().open_requests();
    }
    return total;
}

} // namespace sycamorelock::core::testing
