#include "metrics.h"

#include "clock.h"

static void write_exchanges(const metrics_modules_t* m, cw_buffer_t* out) {
    exchanges_stats_t x = exchanges_stats(m->exchanges);
    cw_message_add_text(out, "chalkway_requests_active %u\nchalkway_requests_waiting %u\n", x.active, x.waiting);
    cw_message_add_text(out, "chalkway_sends_total %llu\nchalkway_repeats_total %llu\nchalkway_resumed_total %llu\n",
                        (unsigned long long)x.sends, (unsigned long long)x.retries_sent,
                        (unsigned long long)x.streams_resumed);
    cw_message_add_text(out, "chalkway_responses_unframed_total %llu\n", (unsigned long long)x.responses_unframed);
}

static void write_connections(const metrics_modules_t* m, cw_buffer_t* out) {
    frontend_stats_t f = frontend_stats(m->front);
    cw_message_add_text(out, "chalkway_caller_connections %u\nchalkway_callers_accepted_total %llu\n", f.open,
                        (unsigned long long)f.accepted);
    cw_message_add_text(out, "chalkway_server_connections %u\nchalkway_server_connects_total %llu\n",
                        upstreams_connections(m->upstreams),
                        (unsigned long long)upstreams_connections_opened(m->upstreams));
}

static void write_configuration(const metrics_modules_t* m, cw_buffer_t* out) {
    sync_stats_t s = sync_stats(m->sync);
    cw_message_add_text(out, "chalkway_source_calls_total %llu\nchalkway_source_failures_total %llu\n",
                        (unsigned long long)s.source_calls, (unsigned long long)s.source_failures);
    cw_message_add_text(out, "chalkway_peer_calls_total %llu\nchalkway_revision %lld\nchalkway_servers_age_ms %lld\n",
                        (unsigned long long)s.peer_calls, (long long)s.revision, (long long)s.servers_age_ms);
    cw_message_add_text(out, "chalkway_servers_refused_total %llu\nchalkway_entries_refused_total %llu\n",
                        (unsigned long long)upstreams_servers_rejected(m->upstreams),
                        (unsigned long long)s.entries_refused);
}

static void write_hosts(const metrics_modules_t* m, cw_buffer_t* out) {
    mesh_stats_t s = mesh_stats(m->mesh);
    cw_message_add_text(out, "chalkway_members_known %u\nchalkway_members_live %u\n", s.known, s.live);
    cw_message_add_text(
        out, "chalkway_load_out_total %llu\nchalkway_load_in_total %llu\nchalkway_load_passed_on_total %llu\n",
        (unsigned long long)s.reporter.out, (unsigned long long)s.reporter.in,
        (unsigned long long)s.reporter.forwarded);
    cw_message_add_text(out, "chalkway_load_of_unknown_total %llu\n", (unsigned long long)s.reporter.unknown);
}

static void write_streams(const metrics_modules_t* m, cw_buffer_t* out) {
    streams_stats_t st = streams_stats(m->streams);
    cw_message_add_text(out,
                        "chalkway_handover_settled %d\nchalkway_handover_pages_sent_total %llu\n"
                        "chalkway_handover_pages_received_total %llu\n",
                        st.is_settled, (unsigned long long)st.pages_sent, (unsigned long long)st.pages_received);
    cw_message_add_text(out, "chalkway_list_gaps_total %llu\n", (unsigned long long)st.list_gaps);
    cw_message_add_text(out, "chalkway_streams_known %u\nchalkway_streams_forgotten_early_total %llu\n", st.known,
                        (unsigned long long)st.evicted);
    cw_message_add_text(out,
                        "chalkway_streams_announced_total %llu\nchalkway_streams_received_total %llu\n"
                        "chalkway_streams_queried_total %llu\n",
                        (unsigned long long)st.announced, (unsigned long long)st.received,
                        (unsigned long long)st.queried);
    for (uint32_t i = 0; i < STREAM_SOURCE_COUNT; i++) {
        cw_message_add_text(out, "chalkway_streams_resumed_by_callers_total{version=\"%s\"} %llu\n",
                            streams_source_name(i), (unsigned long long)st.resumed[i]);
    }
}

static void write_quarantine(const metrics_modules_t* m, cw_buffer_t* out) {
    quarantine_stats_t q = quarantine_stats(m->quarantine);
    uint32_t quarantined_requests = q.suspects.quarantined - q.suspects.quarantined_parts;
    cw_message_add_text(out, "chalkway_suspect_requests %u\nchalkway_held_requests %u\nchalkway_held_parts %u\n",
                        q.suspects.entries, quarantined_requests, q.suspects.quarantined_parts);
    cw_message_add_text(out, "chalkway_held_back_total %llu\nchalkway_suspects_pushed_out_total %llu\n",
                        (unsigned long long)q.requests_quarantined, (unsigned long long)q.suspects.evicted);
    cw_message_add_text(out, "chalkway_marks_told_total %llu\nchalkway_marks_heard_total %llu\n",
                        (unsigned long long)q.observations_sent, (unsigned long long)q.observations_received);
}

static void write_tunnels(const metrics_modules_t* m, cw_buffer_t* out) {
    tunnels_stats_t t = tunnels_stats(m->tunnels);
    cw_message_add_text(out, "chalkway_tunnels_used_total %llu\nchalkway_tunnels_open %u\n",
                        (unsigned long long)upstreams_tunnels_opened(m->upstreams), t.open);
    cw_message_add_text(out,
                        "chalkway_tunnels_opened_total %llu\nchalkway_tunnels_refused_total %llu\n"
                        "chalkway_tunnel_bytes_total %llu\n",
                        (unsigned long long)t.opened, (unsigned long long)t.refused, (unsigned long long)t.bytes);
}

/* How far the forecast of first events is off: quantiles of observed / predicted time. Nothing while no first event was
   predicted. */
static void write_forecast_metrics(const pool_t* pool, cw_buffer_t* out) {
    static const struct {
        const char* label;
        double quantile;
    } quantiles[] = {{"0.5", 0.5}, {"0.9", 0.9}};
    cw_message_add_text(out, "chalkway_forecast_shared{pool=\"%s\"} %d\n", pool->name,
                        cw_balance_is_forecast_shared(pool->balance));
    for (uint32_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        double ratio = cw_balance_forecast_ratio(pool->balance, quantiles[i].quantile);
        if (ratio > 0) {
            cw_message_add_text(out, "chalkway_forecast_ratio{pool=\"%s\",quantile=\"%s\"} %.3f\n", pool->name,
                                quantiles[i].label, ratio);
        }
    }
}

static void write_pool(const pool_t* pool, cw_buffer_t* out) {
    cw_throttled_t throttled = cw_balance_throttled(pool->balance, clock_ms());
    cw_message_add_text(out,
                        "chalkway_pool_resting{pool=\"%s\"} %u\nchalkway_pool_limited{pool=\"%s\"} %u\n"
                        "chalkway_pool_limits_owned{pool=\"%s\"} %u\n",
                        pool->name, throttled.backing_off, pool->name, throttled.rate_limited, pool->name,
                        throttled.owned_rates);
    cw_message_add_text(out, "chalkway_pool_ready{pool=\"%s\"} %u\nchalkway_pool_listed{pool=\"%s\"} %u\n", pool->name,
                        pool->ready, pool->name, pool->listed);
    cw_message_add_text(out,
                        "chalkway_pool_unreachable{pool=\"%s\"} %u\nchalkway_pool_opened_age_ms{pool=\"%s\"} %lld\n",
                        pool->name, cw_balance_unreachable_count(pool->balance), pool->name,
                        pool->opened_ms ? (long long)(clock_ms() - pool->opened_ms) : -1LL);
    cw_message_add_text(out, "chalkway_pool_reject_limited{pool=\"%s\"} %d\n", pool->name,
                        cw_balance_is_reject_limited(pool->balance, clock_ms()));
    cw_message_add_text(out, "chalkway_pool_cut{pool=\"%s\"} %d\nchalkway_pool_broken_paths{pool=\"%s\"} %u\n",
                        pool->name, pool->reach.is_cut, pool->name, pool->reach.broken_count);
    cw_message_add_text(out, "chalkway_pool_fullness{pool=\"%s\"} %.3f\n", pool->name,
                        cw_balance_utilization(pool->balance, clock_ms()));
    cw_message_add_text(out, "chalkway_pool_read_ms_per_token{pool=\"%s\"} %.5f\n", pool->name,
                        cw_balance_prefill_ms_per_token(pool->balance));
    write_forecast_metrics(pool, out);
    for (uint32_t level = 0; level < PLACEMENT_LEVELS; level++) {
        cw_message_add_text(out, "chalkway_placement_total{pool=\"%s\",level=\"%u\"} %llu\n", pool->name, level,
                            (unsigned long long)pool->placed[level]);
    }
}

void metrics_write(const metrics_modules_t* m, cw_buffer_t* out) {
    write_exchanges(m, out);
    write_connections(m, out);
    write_configuration(m, out);
    write_hosts(m, out);
    write_streams(m, out);
    write_quarantine(m, out);
    write_tunnels(m, out);
    cw_message_add_text(out, "chalkway_log_lines_lost_total %lu\n", m->log_lines_dropped);
    for (const pool_t* pool = upstreams_pools(m->upstreams); pool; pool = pool->next) {
        write_pool(pool, out);
    }
}
