// One line for each decision.
#include "request_log.hpp"

#include "release_text.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <cmath>

namespace sycamorelock::adapters::direct
{

namespace
{

std::string ms_text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

std::string ms_text(core::duration value)
{
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(value).count());
}

/// A share as a whole number of hundredths.
std::string percent_text(double share)
{
    static constexpr double hundred = 100;
    return std::to_string(static_cast<std::int64_t>(share * hundred));
}

std::string id_text(std::optional<event_id> id)
{
    return id ? to_string(*id) : "none";
}

std::string text_or_none(std::string_view text)
{
    return std::string(text.empty() ? "none" : text);
}

/// A rate that may be infinite.
std::string rate_text(double per_second)
{
    return std::isfinite(per_second) ? ms_text(per_second) : "none";
}

/// Counts of the endpoints that were not compared, "reason:count" each.
std::string excluded_text(const core::direct::endpoint_survey& survey)
{
    std::string text;
    for (const core::direct::exclusion reason : core::direct::all_exclusions)
    {
        if (survey.excluded(reason) == 0)
            continue;
        text.append(text.empty() ? "" : ",")
            .append(to_string(reason))
            .append(":")
            .append(std::to_string(survey.excluded(reason)));
    }
    return text_or_none(text);
}

std::string first_text(const open_request& request)
{
    if (request.first == core::time_point())
        return "none";
    return ms_text(request.first - request.profile.arrived);
}

std::string cut_reason(const open_request& request)
{
    std::string reason(request.stopped_by);
    if (!request.not_repeated.empty())
        reason.append("/").append(request.not_repeated);
    return reason;
}

/// Key of a request whose attempts did not all end well, so that those of one
/// caller can be found at all instances.
std::string content_text(open_request& request)
{
    return request.stopped_by.empty() ? "none"
                                      : to_string(request.content_key());
}

/// Keys of the prompt's parts that other requests may share, in order.
std::string parts_text(const open_request& request)
{
    const std::vector<core::direct::prompt_part>& parts = request.profile.parts;
    std::string text;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        text.append(i == 0 ? "" : ",")
            .append(to_string(core::crash_key_of_part(parts[i].key)));
    }
    return text_or_none(text);
}

/// How long the caller said that it would wait.
std::string left_text(const open_request& request)
{
    return request.meta.time_left
               ? std::to_string(request.meta.time_left->count())
               : "none";
}

} // namespace

void request_log::rejected(const open_request& request, http::status status,
                           std::string_view reason)
{
    const std::uint64_t version = request.config ? request.config->version : 0;
    context_.log.write(
        direct_event::request_rejected,
        {{"request", request.meta.attempt_id},
         {"status", std::to_string(static_cast<unsigned>(status))},
         {"reason", std::string(reason)},
         {"host", std::string(request.message[http::field::host])},
         {"path", std::string(request.path())},
         {"config", std::to_string(version)}});
}

void request_log::refused(const open_request& request,
                          const core::direct::refusal_decision& decided)
{
    const core::direct::account_standing& standing = request.profile.standing;
    context_.metrics.refused_accounts.add(
        text_or_none(request.account_name),
        std::string(to_string(decided.reason)));
    context_.log.write(
        direct_event::request_refused,
        {{"request", request.meta.attempt_id},
         {"route", request.profile.route_config->name},
         {"account", request.account_name},
         {"reason", std::string(to_string(decided.reason))},
         {"wait_ms", ms_text(decided.wait_ms)},
         {"allowed_ms", ms_text(decided.allowed_ms)},
         {"predicted_ms", ms_text(decided.predicted_ms)},
         {"unseen_ms", ms_text(decided.unseen_ms)},
         {"promised", decided.is_promised ? "yes" : "no"},
         {"is_return", request.profile.is_return ? "yes" : "no"},
         {"prompt_tokens", ms_text(request.profile.prompt_tokens)},
         {"owed_percent", percent_text(standing.owed)},
         {"fair_percent", percent_text(standing.fair)},
         {"asked_per_s", rate_text(standing.asked)},
         {"served_per_s", rate_text(standing.served)},
         {"owed_share_per_s", rate_text(standing.owed_share)},
         {"fair_share_per_s", rate_text(standing.fair_share)},
         {"present_share_per_s", rate_text(standing.present_share)},
         {"underserved", standing.is_underserved ? "yes" : "no"},
         {"news_ms",
          standing.report_age ? ms_text(*standing.report_age) : "none"},
         {"listed", std::to_string(decided.survey.listed)},
         {"compared", std::to_string(decided.survey.compared)},
         {"excluded", excluded_text(decided.survey)},
         {"shortest_queue_ms", ms_text(decided.survey.shortest_queue_ms)},
         {"retry_after_ms", std::to_string(decided.retry_after.count())},
         {"left_ms", left_text(request)},
         {"config", std::to_string(request.config->version)}});
}

void request_log::resumed(const open_request& request,
                          const core::direct::stream_resolution& found)
{
    const std::string source(to_string(found.source));
    ++context_.metrics.resumed[source];
    context_.log.write(
        direct_event::stream_resumed,
        {{"request", request.meta.attempt_id},
         {"route", request.profile.route_config->name},
         {"account", request.account_name},
         {"resumes", text_or_none(request.meta.resumes)},
         {"last_event", id_text(request.meta.last_event)},
         {"source", source},
         {"release", found.release ? to_text(*found.release) : "none"},
         {"waited_ms", ms_text(now() - request.profile.arrived)}});
}

void request_log::placed(const open_request& request,
                         const core::direct::placement_decision& decided)
{
    context_.log.write(
        direct_event::request_placed,
        {{"request", request.meta.attempt_id},
         {"route", request.profile.route_config->name},
         {"account", request.account_name},
         {"endpoint", decided.endpoint.boot},
         {"version", decided.endpoint.version},
         {"news_ms", ms_text(context_.endpoint_news.at(now()))},
         {"attempt", std::to_string(request.asked.size())},
         {"predicted_ms", ms_text(decided.predicted_ms)},
         {"wait_ms", ms_text(decided.wait_ms)},
         {"unseen_ms", ms_text(decided.unseen_ms)},
         {"prompt_tokens", ms_text(request.profile.prompt_tokens)},
         {"owed_percent", percent_text(request.profile.standing.owed)},
         {"fair_percent", percent_text(request.profile.standing.fair)},
         {"underserved",
          request.profile.standing.is_underserved ? "yes" : "no"},
         {"cached_tokens", ms_text(decided.cached_tokens)},
         {"slowdown_percent", percent_text(decided.slowdown)},
         {"reported_percent",
          decided.reported ? percent_text(decided.reported->present) : "none"},
         {"reported_age_ms",
          decided.reported ? ms_text(decided.reported->age) : "none"},
         {"fetched_tokens",
          ms_text(decided.fetch ? decided.fetch->tokens : 0.0)},
         {"leaves_domain", decided.leaves_domain ? "yes" : "no"},
         {"cost_ms", ms_text(decided.cost.total())},
         {"cost_remote_ms", ms_text(decided.cost.remote_domain)},
         {"saved_traffic_ms", ms_text(decided.cost.saved_traffic)},
         {"objective_ms",
          std::to_string(request.profile.route_config->objective.count())},
         {"pause_objective_ms",
          std::to_string(
              request.profile.route_config->pause_objective.count())},
         {"left_ms", left_text(request)},
         {"config", std::to_string(request.config->version)}});
}

void request_log::repeated(open_request& request, std::string_view boot,
                           attempt_end end, std::string_view why)
{
    const std::string how(to_string(end));
    ++context_.metrics.retried[how];
    context_.log.write(
        direct_event::attempt_repeated,
        {{"request", request.meta.attempt_id},
         {"endpoint", std::string(boot)},
         {"end", how},
         {"why", std::string(why)},
         {"content", to_string(request.content_key())},
         {"parts", parts_text(request)},
         {"events", std::to_string(request.events.count())},
         {"after_ms", ms_text(now() - request.profile.arrived)}});
}

void request_log::kept(const open_request& request, std::string_view boot)
{
    ++context_.metrics.kept;
    context_.log.write(
        direct_event::silent_endpoint_kept,
        {{"request", request.meta.attempt_id},
         {"endpoint", std::string(boot)},
         {"events", std::to_string(request.events.count())},
         {"why", text_or_none(request.not_repeated)},
         {"after_ms", ms_text(now() - request.profile.arrived)}});
}

void request_log::handed_over(const open_request& request,
                              const core::direct::endpoint_record& incumbent,
                              core::direct::handover_result result,
                              core::direct::handover_event event)
{
    const std::string outcome(to_string(result));
    const std::string cause(to_string(event));
    ++context_.metrics.handovers[outcome + '/' + cause];
    context_.log.write(
        direct_event::handover_ended,
        {{"request", request.meta.attempt_id},
         {"incumbent", incumbent.boot},
         {"goes_on", outcome},
         {"cause", cause},
         {"events", std::to_string(request.events.count())},
         {"overlap_ms", request.candidate_asked
                            ? ms_text(now() - *request.candidate_asked)
                            : "none"},
         {"after_ms", ms_text(now() - request.profile.arrived)}});
}

void request_log::ended(open_request& request, std::string_view outcome,
                        unsigned status)
{
    ++context_.metrics.ended[std::string(outcome)];
    const core::duration total = now() - request.profile.arrived;
    const auto seconds = [](core::duration value)
    { return std::chrono::duration<double>(value).count(); };
    service_latency& of = context_.metrics.of(request.service_name);
    of.total.record(seconds(total));
    if (request.first != core::time_point())
        of.first.record(seconds(request.first - request.profile.arrived));
    if (request.longest_pause > core::duration(0))
        of.pause.record(seconds(request.longest_pause));
    if (outcome == "cut")
        ++context_.metrics.cut[cut_reason(request)];
    context_.log.write(direct_event::request_ended,
                       {{"request", request.meta.attempt_id},
                        {"outcome", std::string(outcome)},
                        {"why", text_or_none(request.stopped_by)},
                        {"not_repeated", text_or_none(request.not_repeated)},
                        {"content", content_text(request)},
                        {"status", std::to_string(status)},
                        {"attempts", std::to_string(request.asked.size())},
                        {"events", std::to_string(request.events.count())},
                        {"first_ms", first_text(request)},
                        {"pause_ms", ms_text(request.longest_pause)},
                        {"total_ms", ms_text(total)}});
}

} // namespace sycamorelock::adapters::direct
