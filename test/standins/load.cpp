// Closed loops of requests.
#include "load.hpp"

#include <algorithm>

namespace standin
{

namespace
{
constexpr std::chrono::milliseconds sample_period{20};
constexpr std::chrono::milliseconds pause_after_refusal{200};
} // namespace

sender lookups(const std::string& account, long tokens,
               std::chrono::milliseconds pause)
{
    sender made;
    made.account = account;
    made.open = 2;
    made.least_tokens = tokens;
    made.most_tokens = tokens;
    made.pause = pause;
    made.urgent = true;
    return made;
}

std::string tally::reasons_text() const
{
    std::string text;
    for (const auto& [reason, count] : reasons)
        text += std::to_string(count) + " x " + reason + "; ";
    return text;
}

load::load(fleet& running, std::string service, std::size_t slots,
           std::vector<sender> senders, std::uint64_t seed)
    : fleet_(running), service_(std::move(service)), slots_(slots),
      senders_(std::move(senders)), random_(seed)
{
}

load::~load()
{
    stop_ = true;
    if (thread_.joinable())
        thread_.join();
}

void load::start()
{
    for (const sender& each : senders_)
    {
        tally_.accounts[each.account].weight = each.weight;
        for (int i = 0; i < each.open; ++i)
            asio::co_spawn(context_, send(each, i), asio::detached);
    }
    asio::co_spawn(context_, sample(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

const tally& load::stop()
{
    stop_ = true;
    if (thread_.joinable())
        thread_.join();
    return tally_;
}

const tally& load::run(std::chrono::milliseconds length)
{
    start();
    std::this_thread::sleep_for(length);
    return stop();
}

asio::awaitable<void> load::send(sender who, int number)
{
    auto turn = static_cast<std::size_t>(number);
    while (!stop_)
    {
        const std::size_t to = who.through.empty()
                                   ? turn % fleet_.instances().size()
                                   : who.through[turn % who.through.size()];
        ++turn;
        co_await once(who, to);
        if (!who.backlogged())
            co_await sleep_for(who.pause);
    }
}

asio::awaitable<void> load::once(const sender& who, std::size_t to)
{
    account_trace& trace = tally_.accounts[who.account];
    call made = fleet_.make_call(to, who.account, service_);
    std::uniform_int_distribution<long> length(who.least_tokens,
                                               who.most_tokens);
    made.tokens = length(random_);
    // A rough hint, as callers give it.
    made.fields["X-Cost-Hint"] = std::to_string(made.tokens * 2);
    if (who.urgent)
        made.fields["Priority"] = "u=0";
    if (who.once_in > 0 && random_() % who.once_in == 0)
    {
        made.fields["X-Idempotent"] = "false";
        tally_.once_marks.push_back(made.mark);
    }
    bool began = false;
    made.on_piece = [&](std::string_view piece)
    {
        trace.tokens += std::count(piece.begin(), piece.end(), '\n') / 2;
        if (began)
            return;
        began = true;
        --trace.waiting;
        --waiting_;
    };
    ++trace.waiting;
    ++waiting_;
    ++tally_.offered;
    const answer got = co_await ask(made);
    if (!began)
    {
        --trace.waiting;
        --waiting_;
    }
    record(who, made, got);
    if (!got.completed())
        co_await sleep_for(pause_after_refusal);
}

void load::record(const sender& who, const call& made, const answer& got)
{
    tally_.foreign += got.foreign ? 1 : 0;
    if (got.completed())
    {
        ++tally_.completed;
        tally_.first_token_ms[who.account].push_back(got.first_token_seconds *
                                                     1000);
        return;
    }
    if (!got.refused())
    {
        ++tally_.lost;
        return;
    }
    const bool not_run = got.executed == "no";
    tally_.refused.emplace_back(made.mark, not_run);
    ++(not_run ? tally_.refused_not_run : tally_.unknown);
    ++tally_.reasons[std::to_string(got.status) + ' ' + got.reason];
}

asio::awaitable<void> load::sample()
{
    while (!stop_)
    {
        co_await sleep_for(sample_period);
        for (auto& [name, trace] : tally_.accounts)
        {
            trace.service.push_back(static_cast<double>(trace.tokens));
            trace.backlogged.push_back(trace.waiting > 0);
        }
        ++samples_;
        if (waiting_ == 0)
            continue;
        for (const auto& engine : fleet_.endpoints(service_))
        {
            tally_.busy +=
                static_cast<double>(std::min(engine->running(), slots_));
            tally_.available += static_cast<double>(slots_);
        }
    }
}

double load::gap(std::size_t from, std::size_t to) const
{
    std::map<std::string, account_trace> part;
    for (const sender& each : senders_)
    {
        if (!each.backlogged())
            continue;
        const account_trace& whole = tally_.accounts.at(each.account);
        account_trace cut;
        cut.weight = whole.weight;
        const std::size_t end = std::min(to, whole.service.size());
        for (std::size_t i = std::min(from, end); i < end; ++i)
        {
            cut.service.push_back(whole.service[i]);
            cut.backlogged.push_back(whole.backlogged[i]);
        }
        part[each.account] = std::move(cut);
    }
    return fairness_gap(part);
}

long load::run_twice() const
{
    long count = 0;
    for (const std::string& mark : tally_.once_marks)
        count += fleet_.runs(service_, mark) > 1 ? 1 : 0;
    return count;
}

long load::untrue_refusals() const
{
    long count = 0;
    for (const auto& [mark, not_run] : tally_.refused)
        count += not_run && fleet_.runs(service_, mark) > 0 ? 1 : 0;
    return count;
}

} // namespace standin
