#ifndef CHALKWAY_SERVER_LOAD_H
#define CHALKWAY_SERVER_LOAD_H
/*
    chalkway_server_load.h -- the load of a server, as reported and in total

    WHAT IT IS
        The load of this host at a server in the form that its peers receive
        (chalkway_load.h), the last reports of the peers, and the total of both.
        Reported backlogs in ms decrease with the age of their report, those in
        tokens do not; reports that are too old are ignored. Where the pool's
        forecast uses the other unit, a report is converted by this host's
        estimate of the time per token.

    HOW TO USE IT
            cw_load_t own = cw_server_own_load(&forecast, s, now_ms);
            cw_server_store_report(s, now_ms, peer, &load, &limits);
            cw_total_load_t sum = cw_server_total_load(&reader, s, now_ms, urgency);

    WHAT IT DOES NOT DO
        It applies neither the rates nor the failures nor the event intervals
        of a report: see cw_balance_on_peer_load.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_server_forecast.h"
#include "chalkway_server_learning.h"
#include "chalkway_server_table.h"

/* Known load of all hosts at a server. */
typedef struct cw_total_load_t {
    uint32_t running, streaming, gap_ms, longest_prompt_tokens, age_ms; /* age_ms: of the oldest report used */
    double tokens;
    double wait_ms;        /* backlog of the urgency and more urgent ones */
    double backlog_ms;     /* of all urgencies */
    double pace_ms;        /* predicted time per prompt token */
    double pending_tokens; /* of all unanswered prompts, where hosts report them */
} cw_total_load_t;

/* Limits on the stored reports of a server. */
typedef struct cw_report_limits_t {
    uint32_t max_peers;         /* hosts whose reports are stored */
    uint32_t report_max_age_ms; /* older reports are dropped */
    const cw_allocator_t* allocator;
} cw_report_limits_t;

/* Time until this host's pending prompts at the server, at least as urgent, are prefilled, ms; 0 for plain calls. */
double cw_server_own_backlog_ms(const cw_pool_server_t* s, int64_t now_ms, uint32_t urgency);
/* How the loads of a pool's servers are read. */
typedef struct cw_load_reader_t {
    const cw_server_forecast_t* forecast;
    const cw_server_learning_t* learning;
    uint32_t report_max_age_ms; /* older reports are ignored */
} cw_load_reader_t;

/* Load that a request of the urgency finds at the server. */
cw_total_load_t cw_server_total_load(const cw_load_reader_t* reader, const cw_pool_server_t* s, int64_t now_ms,
                                     uint32_t urgency);
/* Rejections of the other hosts at the server within the window of a limit on rejections, by their reports. */
uint32_t cw_server_peer_rejections(const cw_pool_server_t* s, int64_t now_ms);
/* This host's load at the server. */
cw_load_t cw_server_own_load(const cw_server_forecast_t* forecast, const cw_pool_server_t* s, int64_t now_ms);
/* Replaces the load report of a peer. A report without load, or beyond max_peers, is not stored. */
void cw_server_store_report(cw_pool_server_t* s, int64_t now_ms, uint64_t peer, const cw_load_t* load,
                            const cw_report_limits_t* limits);

#endif /* CHALKWAY_SERVER_LOAD_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_LOAD_IMPL_INCLUDED
#define CHALKWAY_SERVER_LOAD_IMPL_INCLUDED

#include <string.h>

#define _CW_REPORTS_CAPACITY 4 /* initial capacity, load reports for one server */

/* Adds streams with a gap limit: only those with the strictest one are counted. */
static void _cw_server_add_gap_limit(cw_total_load_t* sum, uint32_t gap_ms, uint32_t count) {
    if (!count || (sum->streaming && gap_ms > sum->gap_ms)) {
        return;
    }
    sum->streaming = sum->streaming && gap_ms == sum->gap_ms ? sum->streaming + count : count;
    sum->gap_ms = gap_ms;
}

double cw_server_own_backlog_ms(const cw_pool_server_t* s, int64_t now_ms, uint32_t urgency) {
    return s->spec.memory_tokens ? cw_backlog_ms(&s->backlog, now_ms, urgency) : 0;
}

/* Remainder of a backlog that was reported age_ms ago. */
static double _cw_server_remaining_ms(uint32_t reported_ms, int64_t age_ms) {
    return reported_ms > age_ms ? (double)(reported_ms - age_ms) : 0;
}

/* Backlog of this host's prompts by the forecast in use. */
static double _cw_server_own_wait_ms(const cw_load_reader_t* reader, const cw_pool_server_t* s, int64_t now_ms,
                                     uint32_t urgency, double pace_ms) {
    return reader->forecast->is_shared ? (double)cw_forecast_pending_tokens(&s->forecast, urgency) * pace_ms
                                       : cw_server_own_backlog_ms(s, now_ms, urgency);
}

/* Backlog that a peer reported age_ms ago, for the urgency. Tokens that are pending by the shared forecast remain so
   until a later report removes them. */
static double _cw_server_reported_wait_ms(const cw_load_reader_t* reader, const cw_load_t* load, int64_t age_ms,
                                          uint32_t urgency, double pace_ms) {
    if (load->backlog_unit != CW_LOAD_UNIT_TOKENS) {
        return _cw_server_remaining_ms(load->backlog_ms[urgency], age_ms);
    }
    double reported_ms = (double)load->backlog_ms[urgency] * CW_FORECAST_UNIT_TOKENS * pace_ms;
    double passed_ms = reader->forecast->is_shared ? 0 : (double)age_ms;
    return reported_ms > passed_ms ? reported_ms - passed_ms : 0;
}

cw_total_load_t cw_server_total_load(const cw_load_reader_t* reader, const cw_pool_server_t* s, int64_t now_ms,
                                     uint32_t urgency) {
    double pace_ms = cw_server_pace_ms(reader->forecast, reader->learning, s, now_ms);
    double own_ms = _cw_server_own_wait_ms(reader, s, now_ms, CW_URGENCY_LEVELS - 1, pace_ms);
    cw_total_load_t sum = {.running = s->running,
                           .longest_prompt_tokens = own_ms > 0 ? s->longest_prompt_tokens : 0,
                           .tokens = (double)s->tokens,
                           .wait_ms = _cw_server_own_wait_ms(reader, s, now_ms, urgency, pace_ms),
                           .backlog_ms = own_ms,
                           .pace_ms = pace_ms,
                           .pending_tokens = (double)cw_forecast_pending_tokens(&s->forecast, CW_URGENCY_LEVELS - 1)};
    cw_gap_limit_t own = cw_gap_limits_strictest(&s->gap_limits);
    _cw_server_add_gap_limit(&sum, own.gap_ms, own.count);
    for (uint32_t i = 0; i < s->report_count; i++) {
        const cw_load_report_t* report = &s->reports[i];
        int64_t age_ms = now_ms - report->at_ms;
        if (age_ms > reader->report_max_age_ms) {
            continue;
        }
        sum.running += report->load.running;
        sum.tokens += report->load.tokens;
        sum.pending_tokens += (double)report->load.pending_units * CW_FORECAST_UNIT_TOKENS;
        _cw_server_add_gap_limit(&sum, report->load.gap_ms, report->load.streaming);
        sum.wait_ms += _cw_server_reported_wait_ms(reader, &report->load, age_ms, urgency, pace_ms);
        double all_urgencies_ms =
            _cw_server_reported_wait_ms(reader, &report->load, age_ms, CW_URGENCY_LEVELS - 1, pace_ms);
        if (all_urgencies_ms > 0) {
            sum.backlog_ms += all_urgencies_ms;
            sum.longest_prompt_tokens = report->load.longest_prompt_tokens > sum.longest_prompt_tokens
                                            ? report->load.longest_prompt_tokens
                                            : sum.longest_prompt_tokens;
        }
        sum.age_ms = report->load.running && age_ms > sum.age_ms ? (uint32_t)age_ms : sum.age_ms;
    }
    return sum;
}

static void _cw_server_fill_reject_limit(const cw_reject_limit_t* limit, int64_t now_ms, cw_load_t* load) {
    load->has_reject_limit = cw_reject_limit_is_active(limit, now_ms) && limit->own_ms > limit->withdrawn_ms &&
                             now_ms - limit->own_ms <= CW_REJECT_LIMIT_EXPIRY_MS;
    if (load->has_reject_limit) {
        load->reject_limit_per_s = limit->per_s;
        load->reject_limit_ago_ms = (uint32_t)(now_ms - limit->own_ms);
        load->rejections = cw_reject_limit_own_rejections(limit, now_ms);
    }
}

static void _cw_server_fill_rate(const cw_rate_t* rate, int64_t now_ms, cw_load_t* load) {
    cw_rate_observation_t observation = cw_rate_to_send(rate, now_ms);
    if (observation.state != CW_RATE_UNKNOWN) {
        load->rate = observation.state;
        load->rate_per_ks = (uint32_t)(observation.per_s * 1000);
        load->rate_ago_ms = (uint32_t)(now_ms - observation.at_ms);
    }
}

cw_load_t cw_server_own_load(const cw_server_forecast_t* forecast, const cw_pool_server_t* s, int64_t now_ms) {
    cw_gap_limit_t gap = cw_gap_limits_strictest(&s->gap_limits);
    cw_load_t load = {.running = s->running,
                      .gap_ms = gap.gap_ms,
                      .streaming = gap.count,
                      .tokens = s->tokens > UINT32_MAX ? UINT32_MAX : (uint32_t)s->tokens,
                      .event_interval_us = cw_server_event_interval_us(s),
                      .failed_ago_ms = cw_suspect_age_ms(s->own_failed_ms, now_ms),
                      .answered_ago_ms = s->suspicion.failures ? cw_suspect_age_ms(s->own_answered_ms, now_ms) : 0};
    _cw_server_fill_rate(&s->rate, now_ms, &load);
    _cw_server_fill_reject_limit(&s->reject_limit, now_ms, &load);
    for (uint32_t urgency = 0; urgency < CW_URGENCY_LEVELS; urgency++) {
        load.backlog_ms[urgency] = (uint32_t)cw_server_own_backlog_ms(s, now_ms, urgency);
    }
    cw_server_forecast_fill_load(forecast, s, now_ms, &load);
    load.longest_prompt_tokens = load.backlog_ms[CW_URGENCY_LEVELS - 1] ? s->longest_prompt_tokens : 0;
    return load;
}

uint32_t cw_server_peer_rejections(const cw_pool_server_t* s, int64_t now_ms) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < s->report_count; i++) {
        bool is_recent = now_ms - s->reports[i].at_ms < CW_REJECT_LIMIT_WINDOW_MS;
        count += is_recent ? s->reports[i].load.rejections : 0;
    }
    return count;
}

/* Drops reports that are too old, and the peer's, which is about to be replaced. */
static void _cw_server_drop_reports(cw_pool_server_t* s, int64_t now_ms, uint64_t peer, uint32_t report_max_age_ms) {
    for (uint32_t i = 0; i < s->report_count;) {
        if (s->reports[i].peer == peer || now_ms - s->reports[i].at_ms > report_max_age_ms) {
            s->reports[i] = s->reports[--s->report_count];
        } else {
            i++;
        }
    }
}

/* Ensures capacity for one more report. */
static void _cw_server_reserve_report(cw_pool_server_t* s, const cw_allocator_t* allocator) {
    if (s->report_count < s->report_capacity) {
        return;
    }
    uint32_t new_capacity = s->report_capacity ? 2 * s->report_capacity : _CW_REPORTS_CAPACITY;
    cw_load_report_t* reports = cw_alloc(allocator, new_capacity, sizeof(*reports));
    if (s->reports) {
        memcpy(reports, s->reports, s->report_count * sizeof(*reports));
        cw_free(allocator, s->reports);
    }
    s->reports = reports;
    s->report_capacity = new_capacity;
}

static bool _cw_server_has_load(const cw_load_t* load) {
    return load->running || load->rejections || load->streaming || load->tokens ||
           load->backlog_ms[CW_URGENCY_LEVELS - 1];
}

void cw_server_store_report(cw_pool_server_t* s, int64_t now_ms, uint64_t peer, const cw_load_t* load,
                            const cw_report_limits_t* limits) {
    _cw_server_drop_reports(s, now_ms, peer, limits->report_max_age_ms);
    if (_cw_server_has_load(load) && s->report_count < limits->max_peers) {
        _cw_server_reserve_report(s, limits->allocator);
        s->reports[s->report_count++] = (cw_load_report_t){.peer = peer, .at_ms = now_ms, .load = *load};
    }
}

#endif /* CHALKWAY_SERVER_LOAD_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
