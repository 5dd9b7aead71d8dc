// Each step prefills a chunk and decodes one token per request of the batch.
#include "engine_model.hpp"

#include <algorithm>

namespace model
{

engine_model::engine_model(engine_parameters parameters,
                           listener on_first_token, listener on_completed)
    : parameters_(parameters), on_first_token_(std::move(on_first_token)),
      on_completed_(std::move(on_completed))
{
}

void engine_model::submit(const engine_request& request)
{
    waiting_.push_back(request);
}

void engine_model::cancel(std::uint64_t id)
{
    std::erase_if(waiting_,
                  [id](const engine_request& r) { return r.id == id; });
    batch_.remove_if([id](const running_request& r)
                     { return r.request.id == id; });
}

double engine_model::look_up_and_insert(const engine_request& request)
{
    double cached = 0;
    bool prefix_cached = true;
    for (std::size_t i = 0; i < request.parts.size(); ++i)
    {
        const auto& part = request.parts[i];
        const auto found = index_.find(part.key);
        if (found != index_.end())
        {
            cached += prefix_cached ? part.tokens : 0;
            lru_.splice(lru_.begin(), lru_, found->second);
            continue;
        }
        prefix_cached = false;
        const bool shared = i + 1 < request.parts.size();
        if (shared && ever_cached_[part.key])
            repeated_prefill_tokens_ += part.tokens;
        insert(part);
    }
    evict_least_recent();
    return std::min(cached, request.prompt_tokens);
}

void engine_model::insert(const sycamorelock::core::direct::prompt_part& part)
{
    lru_.push_front(part);
    index_[part.key] = lru_.begin();
    cached_tokens_ += part.tokens;
    ever_cached_[part.key] = true;
}

void engine_model::evict_least_recent()
{
    while (cached_tokens_ > parameters_.kv_capacity_tokens && !lru_.empty())
    {
        cached_tokens_ -= lru_.back().tokens;
        index_.erase(lru_.back().key);
        lru_.pop_back();
    }
}

double engine_model::cached_prefix_tokens(
    const std::vector<sycamorelock::core::direct::prompt_part>& parts) const
{
    double tokens = 0;
    for (const auto& part : parts)
    {
        if (!index_.contains(part.key))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void engine_model::add_fetched_prefix(
    const std::vector<sycamorelock::core::direct::prompt_part>& parts,
    double tokens)
{
    for (const auto& part : parts)
    {
        tokens -= part.tokens;
        if (tokens < 0)
            break;
        if (index_.contains(part.key))
            continue;
        insert(part);
    }
    evict_least_recent();
}

void engine_model::admit()
{
    while (!waiting_.empty() && batch_.size() < parameters_.slots)
    {
        running_request next;
        next.request = waiting_.front();
        waiting_.pop_front();
        next.cached_tokens = look_up_and_insert(next.request);
        next.prefill_left =
            std::max(1.0, next.request.prompt_tokens - next.cached_tokens);
        prefilled_tokens_ += next.prefill_left;
        batch_.push_back(std::move(next));
    }
}

double engine_model::prefill_chunk()
{
    double budget = parameters_.chunk_tokens;
    double ms = 0;
    for (running_request& each : batch_)
    {
        if (each.prefill_left <= 0 || budget <= 0)
            continue;
        const double chunk = std::min(budget, each.prefill_left);
        const double preceding_tokens =
            each.request.prompt_tokens - each.prefill_left;
        static constexpr double million = 1e6;
        ms += chunk / parameters_.tokens_per_ms +
              chunk * (preceding_tokens + chunk / 2) / million *
                  parameters_.ms_per_million_pairs;
        each.prefill_left -= chunk;
        budget -= chunk;
    }
    return ms;
}

void engine_model::step()
{
    admit();
    const double running_ms =
        parameters_.step_ms_per_running * static_cast<double>(batch_.size());
    now_ms_ += (parameters_.step_ms + running_ms + prefill_chunk()) *
               parameters_.slowdown;
    for (auto it = batch_.begin(); it != batch_.end();)
    {
        if (it->prefill_left > 0)
        {
            ++it;
            continue;
        }
        const std::uint64_t id = it->request.id;
        it->generated_tokens += 1;
        const bool first = !it->first_token_sent;
        it->first_token_sent = true;
        const bool ended = it->generated_tokens >= it->request.output_tokens;
        it = ended ? batch_.erase(it) : std::next(it);
        if (first)
            on_first_token_(id, now_ms_);
        if (ended)
            on_completed_(id, now_ms_);
    }
}

void engine_model::run_until(double at_ms)
{
    while (now_ms_ < at_ms)
    {
        if (batch_.empty() && waiting_.empty())
        {
            now_ms_ = at_ms;
            return;
        }
        step();
    }
}

} // namespace model
