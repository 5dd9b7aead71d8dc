// The simulation advances arrivals, engines and reports in fixed time steps.
#include "fleet_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace model
{

namespace
{

constexpr double tick_ms = 5;

std::string engine_name(std::size_t index)
{
    return "engine-" + std::to_string(index);
}

core::domain_id domain_id_of(std::size_t index)
{
    return core::domain_id::of("domain-" + std::to_string(index));
}

const core::service_id engine_service = core::service_id::of("planner");

} // namespace

simulation_config atlas_config()
{
    simulation_config plan;
    plan.request_types = {
        {"overhaul", 58.3, 13300, 3720, 120, 206, 800, 12000},
        {"vehicle", 43.7, 6300, 2890, 52, 68, 1200, 6000},
        {"note", 86.9, 350, 1110, 171, 136, 1500, 15000},
    };
    double weight = 1;
    for (int i = 0; i < 16; ++i)
    {
        plan.accounts.push_back({"account-" + std::to_string(i), weight});
        weight *= 0.75;
    }
    return plan;
}

simulation_config letter_drafts_config()
{
    simulation_config plan;
    plan.routers = 9;
    plan.engines = 9;
    plan.tokens_per_second = 280000;
    plan.request_types = {
        {"statement", 45.6, 5382, 6610, 380, 161, 800, 15000},
        {"reminder", 58.6, 198, 628, 290, 138, 400, 15000},
        {"subject", 61.7, 568, 1800, 22, 145, 400, 3000},
    };
    plan.accounts = atlas_config().accounts;
    plan.engine_params.step_ms = 3.8;
    plan.engine_params.step_ms_per_running = 0.023;
    plan.engine_params.tokens_per_ms = 68;
    plan.engine_params.ms_per_million_pairs = 0.24;
    plan.engine_params.kv_capacity_tokens = 740000;
    plan.token_bytes = 163840;
    plan.link_bytes_per_ms = 46e6;
    return plan;
}

simulation_config large_fleet_config()
{
    simulation_config plan = atlas_config();
    plan.routers = 40;
    plan.engines = 90;
    plan.tokens_per_second *= 5;
    for (request_type& type : plan.request_types)
    {
        type.requests_per_second *= 5;
        type.distinct_prefixes *= 5;
    }
    plan.report_delay_ms = 200;
    return plan;
}

simulation_config undescribed_prompts_config()
{
    simulation_config plan;
    plan.routers = 38;
    plan.engines = 2;
    plan.tokens_per_second = 0;
    plan.request_types = {{"draft", 300, 0, 0, 36, 1, 400, 4000, false}};
    plan.accounts = {{"account-0", 1}};
    plan.engine_params.slots = 8;
    plan.report_delay_ms = 100;
    return plan;
}

fleet_simulation::fleet_simulation(simulation_config plan)
    : plan_(std::move(plan)), generator_(plan_.seed),
      config_(std::make_shared<direct::catalogue>()),
      is_listed_(plan_.engines, true), sent_to_engine_(plan_.engines, 0),
      domain_factors_(plan_.domains, 1), domain_counts_(plan_.domains)
{
    config_->version = 1;
    direct::service service;
    service.id = engine_service;
    service.name = "planner";
    service.kv_capacity_tokens = plan_.engine_params.kv_capacity_tokens;
    service.token_bytes = plan_.token_bytes;
    service.link_bytes_per_ms = plan_.link_bytes_per_ms;
    config_->services[engine_service] = service;
    for (const request_type& type : plan_.request_types)
    {
        direct::route route;
        route.name = type.name;
        route.kind = direct::route_kind::stream;
        route.objective =
            core::direct::milliseconds(static_cast<long>(type.objective_ms));
        route.timeout =
            core::direct::milliseconds(static_cast<long>(type.deadline_ms));
        route.targets = {{engine_service, 1}};
        config_->routes.push_back(route);
    }
    config_->limits.tokens_per_second = plan_.tokens_per_second;
    config_->index();
    for (std::size_t i = 0; i < plan_.engines; ++i)
        engines_.push_back(std::make_unique<engine_model>(
            plan_.engine_params,
            [this](std::uint64_t id, double ms) { on_first_token(id, ms); },
            [this](std::uint64_t id, double ms) { on_completed(id, ms); }));
    for (std::size_t i = 0; i < plan_.routers; ++i)
    {
        direct::router_options options;
        options.seed = plan_.seed + i;
        options.mechanisms = plan_.mechanisms;
        options.domain = domain_id_of(domain_of(i));
        options.remote_price = direct::domain_price(plan_.remote_ms_per_kb);
        routers_.push_back(std::make_unique<direct::router>(options));
        routers_.back()->install(to_time_point(0), config_);
        routers_.back()->set_fleet_size(plan_.routers);
    }
    std::vector<direct::fleet_member> members;
    for (std::size_t i = 0; i < plan_.routers; ++i)
        members.push_back({core::instance_id::of("router-" + std::to_string(i)),
                           domain_id_of(domain_of(i))});
    for (auto& router : routers_)
    {
        if (plan_.domains > 1)
            router->set_members(to_time_point(0), members);
    }
    publish_engines();
}

core::time_point fleet_simulation::to_time_point(double ms) const
{
    static constexpr double per_ms = 1000;
    static constexpr long start_us = 1'000'000'000;
    return core::time_point(
        core::duration(start_us + static_cast<long>(ms * per_ms)));
}

void fleet_simulation::publish_engines()
{
    std::map<std::string, direct::endpoint_record> records;
    for (std::size_t i = 0; i < plan_.engines; ++i)
    {
        if (!is_listed_[i])
            continue;
        direct::endpoint_record record;
        record.boot = engine_name(i);
        record.service = engine_service;
        record.domain = domain_id_of(domain_of(i));
        record.slots = plan_.engine_params.slots;
        record.address = record.boot + ":1";
        records[record.boot] = record;
    }
    for (auto& router : routers_)
        router->set_endpoints(to_time_point(now_ms_), records);
    if (!plan_.reports_slowdown)
        return;
    direct::endpoint_load load;
    load.slots = plan_.engine_params.slots;
    load.slowdown = 1;
    for (const auto& [name, record] : records)
    {
        for (auto& router : routers_)
            router->note_load(to_time_point(now_ms_), record, load);
    }
}

void fleet_simulation::drain_domains(const std::set<std::size_t>& domains)
{
    std::set<core::domain_id> drained;
    for (const std::size_t each : domains)
        drained.insert(domain_id_of(each));
    for (auto& router : routers_)
        router->set_drained(to_time_point(now_ms_), drained, {});
}

std::size_t fleet_simulation::draw_router()
{
    std::vector<double> weights;
    weights.reserve(routers_.size());
    for (std::size_t i = 0; i < routers_.size(); ++i)
        weights.push_back(domain_factors_[domain_of(i)]);
    std::discrete_distribution<std::size_t> router_index(weights.begin(),
                                                         weights.end());
    return router_index(generator_);
}

void fleet_simulation::set_account_factor(const std::string& name,
                                          double factor)
{
    account_factors_[name] = factor;
}

void fleet_simulation::crash_engines(std::size_t first, std::size_t count)
{
    for (std::size_t i = first; i < first + count; ++i)
        is_listed_[i] = false;
    for (auto it = open_requests_.begin(); it != open_requests_.end();)
    {
        const bool on_crashed_engine = !is_listed_[it->second.engine];
        if (on_crashed_engine)
        {
            engines_[it->second.engine]->cancel(it->first);
            if (it->second.router < routers_.size())
                routers_[it->second.router]->finished(
                    to_time_point(now_ms_), it->second.placed,
                    direct::attempt_outcome::failed);
        }
        it = on_crashed_engine ? open_requests_.erase(it) : std::next(it);
    }
    publish_engines();
}

void fleet_simulation::slow_engines(std::size_t first, std::size_t count,
                                    double slowdown)
{
    for (std::size_t i = first; i < first + count; ++i)
        engines_[i]->set_slowdown(slowdown);
}

void fleet_simulation::reset_results()
{
    type_counts_.clear();
    account_counts_.clear();
    served_tokens_.clear();
    prediction_errors_.clear();
    std::fill(domain_counts_.begin(), domain_counts_.end(), domain_counts{});
    returns_ = {};
    log_errors_.clear();
    predicted_on_time_ = 0;
    late_of_predicted_on_time_ = 0;
    std::fill(sent_to_engine_.begin(), sent_to_engine_.end(), 0U);
}

void fleet_simulation::run(double seconds)
{
    static constexpr double ms_per_second = 1000;
    const double end_ms = now_ms_ + seconds * ms_per_second;
    while (now_ms_ < end_ms)
    {
        now_ms_ += tick_ms;
        const double domain_factor =
            std::accumulate(domain_factors_.begin(), domain_factors_.end(),
                            0.0) /
            static_cast<double>(plan_.domains);
        for (std::size_t i = 0; i < plan_.request_types.size(); ++i)
        {
            std::poisson_distribution<int> arrivals(
                plan_.request_types[i].requests_per_second * traffic_factor_ *
                domain_factor * tick_ms / ms_per_second);
            for (int n = arrivals(generator_); n > 0; --n)
                generate_requests(plan_.request_types[i], i);
        }
        for (open_request& each : returning_.take_due(now_ms_))
            send_attempt(std::move(each));
        submit_due_requests();
        for (auto& engine : engines_)
            engine->run_until(now_ms_);
        exchange_reports();
    }
}

void fleet_simulation::generate_requests(const request_type& type,
                                         std::size_t route_index)
{
    std::vector<double> weights;
    for (const account_load& account : plan_.accounts)
    {
        const auto factor = account_factors_.find(account.name);
        weights.push_back(
            account.traffic_weight *
            (factor == account_factors_.end() ? 1 : factor->second));
    }
    // The factor of an account adds requests to the total; the other accounts
    // keep their request rates.
    double nominal_weight = 0;
    double total_weight = 0;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        nominal_weight += plan_.accounts[i].traffic_weight;
        total_weight += weights[i];
    }
    std::discrete_distribution<std::size_t> account_index(weights.begin(),
                                                          weights.end());
    std::poisson_distribution<int> requests_per_arrival(total_weight /
                                                        nominal_weight);
    for (int n = requests_per_arrival(generator_); n > 0; --n)
    {
        open_request request;
        request.account = plan_.accounts[account_index(generator_)].name;
        request.type = type.name;
        request.objective_ms = type.objective_ms;
        request.arrived_ms = now_ms_;
        std::uniform_int_distribution<unsigned> any_prefix(
            0, type.distinct_prefixes - 1);
        std::bernoulli_distribution is_hot_prompt(
            route_index == 0 ? hot_prompt_share_ : 0);
        const unsigned prefix =
            is_hot_prompt(generator_) ? 0 : any_prefix(generator_);
        std::exponential_distribution<double> unique_length(
            1 / type.mean_unique_tokens);
        const double unique_tokens = 50 + unique_length(generator_);
        const std::uint64_t id = next_id_++;
        const std::string owner = type.has_own_prefixes ? request.account : "";
        std::uint64_t key = direct::extend_key(0, type.name + '/' + owner +
                                                      std::to_string(prefix));
        if (type.describes_prompt)
        {
            request.profile.parts = {{key, type.shared_tokens}};
            key = direct::extend_key(key, std::to_string(id));
            request.profile.parts.push_back({key, unique_tokens});
            request.profile.prompt_tokens = type.shared_tokens + unique_tokens;
            request.profile.output_tokens = type.output_tokens;
        }
        request.profile.route_config = &config_->routes[route_index];
        request.profile.account = core::account_id::of(request.account);
        request.profile.body_bytes = type.body_bytes;
        request.answer_bytes = type.answer_bytes;
        request.profile.deadline = to_time_point(now_ms_ + type.deadline_ms);
        request.tokens = request.profile.share_tokens();
        request.id = id;
        request.output_tokens = type.output_tokens;
        ++type_counts_[request.type].offered_requests;
        ++account_counts_[request.account].offered_requests;
        seconds_.note_asked(now_ms_, request.account, request.tokens);
        send_attempt(std::move(request));
    }
}

void fleet_simulation::send_attempt(open_request request)
{
    const core::time_point now = to_time_point(now_ms_);
    request.profile.arrived = now;
    std::uniform_int_distribution<std::size_t> router_index(0, routers_.size() -
                                                                   1);
    request.router =
        plan_.domains > 1 ? draw_router() : router_index(generator_);
    domain_counts& in_domain = domain_counts_[domain_of(request.router)];
    if (!request.has_returned)
        ++in_domain.requests.offered_requests;
    direct::router& router = *routers_[request.router];
    if (request.has_returned)
        ++(request.was_promised ? returns_.promised : returns_.others);
    router.admit(now, request.profile);
    auto decided =
        router.decide(now, request.profile, engine_service, {}, false);
    if (const auto* refused = std::get_if<direct::refusal_decision>(&decided))
    {
        seconds_.note_unmet(now_ms_, request.account);
        if (!request.has_returned &&
            plan_.after_refusal != caller_behaviour::gives_up)
        {
            schedule_return(std::move(request), *refused);
            return;
        }
        ++type_counts_[request.type].refused;
        type_counts_[request.type].refused_with_free_slots +=
            has_free_slots() ? 1 : 0;
        ++account_counts_[request.account].refused;
        ++in_domain.requests.refused;
        return;
    }
    if (request.has_returned)
        ++(request.was_promised ? returns_.promised_served
                                : returns_.others_served);
    request.placed = std::get<direct::placement_decision>(decided);
    request.sent = now;
    request.engine = engine_index(request.placed.request_load.endpoint);
    ++sent_to_engine_[request.engine];
    if (domain_of(request.engine) != domain_of(request.router))
    {
        ++in_domain.sent_away;
        in_domain.bytes_away +=
            request.profile.body_bytes + request.answer_bytes;
    }
    router.sent(now, request.profile, request.placed);
    schedule_submission(request, request.id, request.output_tokens);
    const std::uint64_t id = request.id;
    open_requests_.emplace(id, std::move(request));
}

void fleet_simulation::schedule_return(open_request request,
                                       const direct::refusal_decision& refused)
{
    static constexpr double us_per_ms = 1000;
    static constexpr double honoured_part = 1.0 / 3;
    const core::duration left =
        request.profile.deadline - to_time_point(now_ms_);
    const double told_ms =
        std::min(static_cast<double>(refused.retry_after.count()),
                 static_cast<double>(left.count()) / us_per_ms * honoured_part);
    request.has_returned = true;
    request.was_promised = refused.is_promised;
    double due_ms = now_ms_ + told_ms;
    if (plan_.after_refusal == caller_behaviour::returns_early)
    {
        request.profile.deadline -=
            core::duration(static_cast<long>(told_ms * us_per_ms));
        due_ms = now_ms_;
    }
    returning_.add(due_ms, std::move(request));
}

void fleet_simulation::restart_router(std::size_t index)
{
    direct::router_options options;
    options.seed = plan_.seed + plan_.routers + index;
    options.mechanisms = plan_.mechanisms;
    auto started = std::make_unique<direct::router>(options);
    started->install(to_time_point(now_ms_), config_);
    started->set_fleet_size(plan_.routers);
    for (auto& [id, request] : open_requests_)
    {
        if (request.router == index)
            request.router = routers_.size();
    }
    routers_[index] = std::move(started);
    publish_engines();
}

std::size_t fleet_simulation::engine_index(core::endpoint_id id) const
{
    for (std::size_t i = 0; i < plan_.engines; ++i)
    {
        if (core::endpoint_id::of(engine_name(i)) == id)
            return i;
    }
    return 0;
}

bool fleet_simulation::has_free_slots() const
{
    // An engine counts as free if at least one in four of its slots is.
    static constexpr unsigned free_divisor = 4;
    for (std::size_t i = 0; i < plan_.engines; ++i)
    {
        const std::size_t max_open_requests =
            plan_.engine_params.slots -
            plan_.engine_params.slots / free_divisor;
        if (is_listed_[i] && engines_[i]->open_requests() <= max_open_requests)
            return true;
    }
    return false;
}

void fleet_simulation::schedule_submission(const open_request& request,
                                           std::uint64_t id,
                                           double output_tokens)
{
    pending_submission pending;
    pending.engine = request.engine;
    pending.request = {id, request.profile.parts, request.profile.prompt_tokens,
                       output_tokens};
    pending.due_ms = now_ms_;
    if (request.placed.fetch)
    {
        // Fetches only what the source has cached now. The engine prefills the
        // rest of the prompt.
        const auto& source =
            engines_[engine_index(request.placed.fetch->source)];
        const double cached = engines_[request.engine]->cached_prefix_tokens(
            request.profile.parts);
        const double cached_at_source =
            source->cached_prefix_tokens(request.profile.parts);
        pending.fetched_tokens = cached_at_source;
        pending.due_ms += request.placed.fetch->transfer_ms;
        tokens_fetched_ += std::max(0.0, cached_at_source - cached);
    }
    pending_submissions_.push_back(std::move(pending));
}

void fleet_simulation::submit_due_requests()
{
    const auto due = std::stable_partition(
        pending_submissions_.begin(), pending_submissions_.end(),
        [this](const pending_submission& each)
        { return each.due_ms > now_ms_; });
    for (auto it = due; it != pending_submissions_.end(); ++it)
    {
        engine_model& engine = *engines_[it->engine];
        engine.add_fetched_prefix(it->request.parts, it->fetched_tokens);
        if (open_requests_.contains(it->request.id))
            engine.submit(it->request);
    }
    pending_submissions_.erase(due, pending_submissions_.end());
}

double fleet_simulation::median_prediction_error() const
{
    std::vector<double> sorted = prediction_errors_;
    if (sorted.empty())
        return 0;
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

double fleet_simulation::log_error_quantile(double fraction) const
{
    std::vector<double> sorted = log_errors_;
    if (sorted.empty())
        return 0;
    const auto at =
        sorted.begin() + static_cast<std::ptrdiff_t>(
                             fraction * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

double fleet_simulation::late_of_predicted_on_time() const
{
    return predicted_on_time_ == 0
               ? 0
               : static_cast<double>(late_of_predicted_on_time_) /
                     predicted_on_time_;
}

void fleet_simulation::on_first_token(std::uint64_t id, double at_ms)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end())
        return;
    open_request& request = found->second;
    if (plan_.reported_slowdown)
    {
        direct::endpoint_load load;
        load.slowdown = plan_.reported_slowdown(request.engine);
        routers_[request.router]->note_load(to_time_point(at_ms),
                                            request.placed.endpoint, load);
    }
    if (request.router < routers_.size())
        routers_[request.router]->first_token(to_time_point(at_ms),
                                              request.profile, request.placed,
                                              request.sent);
    const double observed_ms = std::max(1.0, at_ms - request.arrived_ms);
    prediction_errors_.push_back(
        std::abs(request.placed.predicted_ms - observed_ms) / observed_ms);
    const bool on_time = at_ms - request.arrived_ms <= request.objective_ms;
    static constexpr double allowance_ms = 20;
    log_errors_.push_back(
        std::abs(std::log((observed_ms + allowance_ms) /
                          (request.placed.predicted_ms + allowance_ms))));
    if (request.placed.predicted_ms <= request.objective_ms)
    {
        ++predicted_on_time_;
        late_of_predicted_on_time_ += on_time ? 0 : 1;
    }
    unsigned request_counts::*const counter =
        on_time ? &request_counts::on_time : &request_counts::late;
    ++(type_counts_[request.type].*counter);
    ++(account_counts_[request.account].*counter);
    ++(domain_counts_[domain_of(request.router)].requests.*counter);
    served_tokens_[request.account] += request.tokens;
    seconds_.note_served(at_ms, request.account, request.tokens);
    if (!on_time)
        seconds_.note_unmet(at_ms, request.account);
}

void fleet_simulation::on_completed(std::uint64_t id, double at_ms)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end())
        return;
    if (found->second.router < routers_.size())
    {
        direct::router& router = *routers_[found->second.router];
        router.finished(to_time_point(at_ms), found->second.placed,
                        direct::attempt_outcome::succeeded);
        router.note_answer(found->second.profile, found->second.answer_bytes);
    }
    open_requests_.erase(found);
}

void fleet_simulation::exchange_reports()
{
    const bool is_periodic = now_ms_ >= next_report_ms_;
    if (is_periodic)
        next_report_ms_ = now_ms_ + plan_.report_period_ms;
    for (std::size_t i = 0; i < routers_.size(); ++i)
    {
        if (!is_periodic && !routers_[i]->report_is_urgent())
            continue;
        direct::exchange_report report;
        report.sender = "router-" + std::to_string(i);
        routers_[i]->fill_report(to_time_point(now_ms_), report);
        double additional_delay_ms = 0;
        if (plan_.report_delay_spread_ms > 0)
            additional_delay_ms = std::uniform_real_distribution<double>(
                0, plan_.report_delay_spread_ms)(generator_);
        // Relays add the time for which they hold a note to its age.
        for (direct::slowdown_note& note : report.slowdowns)
            note.age += std::chrono::milliseconds(
                static_cast<long>(plan_.report_delay_ms + additional_delay_ms));
        pending_reports_.push_back(
            {now_ms_ + plan_.report_delay_ms + additional_delay_ms, i,
             std::move(report)});
    }
    const auto due = std::stable_partition(
        pending_reports_.begin(), pending_reports_.end(),
        [this](const pending_report& each) { return each.due_ms > now_ms_; });
    for (auto it = due; it != pending_reports_.end(); ++it)
    {
        for (std::size_t to = 0; to < routers_.size(); ++to)
        {
            const bool is_partitioned =
                partition_at_ > 0 &&
                (it->from < partition_at_) != (to < partition_at_);
            if (to != it->from && !is_partitioned)
                routers_[to]->on_report(to_time_point(now_ms_), it->report);
        }
    }
    pending_reports_.erase(due, pending_reports_.end());
}

const request_counts&
fleet_simulation::counts_of_type(const std::string& name) const
{
    return type_counts_.at(name);
}

request_counts fleet_simulation::total_counts() const
{
    request_counts sum;
    for (const auto& [name, result] : type_counts_)
    {
        sum.offered_requests += result.offered_requests;
        sum.on_time += result.on_time;
        sum.late += result.late;
        sum.refused += result.refused;
        sum.refused_with_free_slots += result.refused_with_free_slots;
    }
    return sum;
}

const request_counts&
fleet_simulation::counts_of_account(const std::string& name) const
{
    return account_counts_.at(name);
}

double fleet_simulation::served_tokens(const std::string& account) const
{
    const auto found = served_tokens_.find(account);
    return found == served_tokens_.end() ? 0 : found->second;
}

double fleet_simulation::repeated_prefill_tokens() const
{
    double sum = 0;
    for (const auto& engine : engines_)
        sum += engine->repeated_prefill_tokens();
    return sum;
}

double fleet_simulation::prefilled_tokens() const
{
    double sum = 0;
    for (const auto& engine : engines_)
        sum += engine->prefilled_tokens();
    return sum;
}

unsigned fleet_simulation::requests_sent_to(std::size_t first,
                                            std::size_t count) const
{
    unsigned sum = 0;
    for (std::size_t i = first; i < first + count; ++i)
        sum += sent_to_engine_[i];
    return sum;
}

} // namespace model
