#include "endpoints.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_hist.h"
#include "../io/httpd.h"
#include "../io/message.h"

#define ADDRESSES_MAX 64
#define SERIES_MAX 64 /* routes, and also workspaces, with metrics of their own, including "other" */
#define OUTCOMES_MAX 8
#define IDLE_S 30
#define MS_PER_S 1000.0

typedef struct series_t {
    char name[CW_NAME_MAX];
    uint64_t outcomes[OUTCOMES_MAX];
    cw_hist_t first_ms, took_ms;
} series_t;

/* Routes or workspaces. The last of SERIES_MAX items is "other". */
typedef struct series_list_t {
    uint32_t count;
    series_t* items;
} series_list_t;

struct endpoints_t {
    endpoints_desc_t desc;
    cw_httpd_t* ready;
    cw_httpd_t* lookup;
    cw_httpd_t* metrics;
    series_list_t routes, workspaces;
};

/* -- metrics -------------------------------------------------------------- */

static series_t* series_get(series_list_t* series_list, const char* name) {
    for (uint32_t i = 0; i < series_list->count; i++) {
        if (strcmp(series_list->items[i].name, name) == 0) {
            return &series_list->items[i];
        }
    }
    if (series_list->count == SERIES_MAX) {
        return &series_list->items[SERIES_MAX - 1];
    }
    series_t* grown = realloc(series_list->items, (series_list->count + 1) * sizeof(*grown));
    if (!grown) {
        abort();
    }
    series_list->items = grown;
    series_t* series = &series_list->items[series_list->count++];
    memset(series, 0, sizeof(*series));
    cw_copy(series->name, sizeof(series->name), series_list->count == SERIES_MAX ? "other" : name);
    return series;
}

static void series_add(series_t* series, uint32_t outcome, uint32_t first_ms, uint32_t took_ms) {
    series->outcomes[outcome < OUTCOMES_MAX ? outcome : OUTCOMES_MAX - 1]++;
    if (first_ms) {
        cw_hist_add(&series->first_ms, first_ms);
    }
    cw_hist_add(&series->took_ms, took_ms);
}

void endpoints_count_request(endpoints_t* d, const char* route, const char* workspace, uint32_t outcome,
                             uint32_t first_ms, uint32_t took_ms) {
    series_add(series_get(&d->routes, route), outcome, first_ms, took_ms);
    series_add(series_get(&d->workspaces, workspace), outcome, first_ms, took_ms);
}

static void write_hist(cw_buffer_t* out, const char* metric, const char* label, const char* name,
                       const cw_hist_t* hist) {
    uint64_t cumulative_count = 0;
    for (uint32_t i = 0; i < CW_HIST_BUCKETS; i++) {
        if (!hist->buckets[i]) {
            continue;
        }
        cumulative_count += hist->buckets[i];
        cw_message_add_text(out, "chalkway_%s_bucket{%s=\"%s\",le=\"%u\"} %llu\n", metric, label, name,
                            cw_hist_upper_bound(i), (unsigned long long)cumulative_count);
    }
    cw_message_add_text(out, "chalkway_%s_bucket{%s=\"%s\",le=\"+Inf\"} %llu\n", metric, label, name,
                        (unsigned long long)hist->count);
    cw_message_add_text(out, "chalkway_%s_sum{%s=\"%s\"} %llu\nchalkway_%s_count{%s=\"%s\"} %llu\n", metric, label,
                        name, (unsigned long long)hist->sum, metric, label, name, (unsigned long long)hist->count);
}

static void write_series(cw_buffer_t* out, const char* label, const series_list_t* series_list) {
    static const char* const outcomes[] = {"served", "denied", "refused", "failed", "gone"};
    for (uint32_t i = 0; i < series_list->count; i++) {
        const series_t* series = &series_list->items[i];
        for (uint32_t o = 0; o < sizeof(outcomes) / sizeof(outcomes[0]); o++) {
            cw_message_add_text(out, "chalkway_requests_total{%s=\"%s\",outcome=\"%s\"} %llu\n", label, series->name,
                                outcomes[o], (unsigned long long)series->outcomes[o]);
        }
        write_hist(out, "first_byte_ms", label, series->name, &series->first_ms);
        write_hist(out, "request_ms", label, series->name, &series->took_ms);
    }
}

/* -- responses ------------------------------------------------------------ */

static void handle_ready(cw_exchange_t* x, void* user) {
    endpoints_t* d = user;
    bool is_known_path = strcmp(cw_exchange_path(x), d->desc.dialect->ready_path) == 0;
    unsigned status = !is_known_path ? 404 : d->desc.is_ready(d->desc.user_data) ? 200 : 503;
    cw_exchange_reply(x, status, NULL, 0, "", 0);
}

/* Body of a lookup response in the dialect's names, to be freed by free(). */
static char* lookup_body(const dialect_t* dialect, const char* const* addresses, uint32_t count, uint32_t max_age_ms) {
    json_t* list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(list, json_string(addresses[i]));
    }
    json_t* body = json_pack("{s:o,s:f}", dialect->lookup_hosts, list, dialect->lookup_max_age, max_age_ms / MS_PER_S);
    char* text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static void handle_lookup(cw_exchange_t* x, void* user) {
    endpoints_t* d = user;
    static const cw_header_t json = {"Content-Type", "application/json"};
    const char* addresses[ADDRESSES_MAX];
    if (strcmp(cw_exchange_path(x), d->desc.dialect->lookup_path) != 0) {
        cw_exchange_reply(x, 404, NULL, 0, "", 0);
        return;
    }
    const char* hall = cw_exchange_arg(x, d->desc.dialect->lookup_hall);
    uint32_t count = d->desc.addresses(d->desc.user_data, hall, addresses, ADDRESSES_MAX);
    if (!count) {
        cw_exchange_reply(x, 503, NULL, 0, "", 0);
        return;
    }
    char* body = lookup_body(d->desc.dialect, addresses, count, d->desc.max_age_ms);
    cw_exchange_reply(x, 200, &json, 1, body, strlen(body));
    free(body);
}

static void handle_quarantine(endpoints_t* d, cw_exchange_t* x) {
    static const cw_header_t json = {"Content-Type", "application/json"};
    cw_buffer_t out = {0};
    d->desc.write_quarantine(d->desc.user_data, &out);
    cw_exchange_reply(x, 200, &json, 1, cw_buffer_text(&out), out.size);
    cw_buffer_free(&out);
}

static void handle_release(endpoints_t* d, cw_exchange_t* x) {
    const char* fingerprint = cw_exchange_arg(x, "fingerprint");
    const char* workspace = cw_exchange_arg(x, "workspace");
    bool is_post = strcmp(cw_exchange_method(x), "POST") == 0;
    bool is_released =
        is_post && fingerprint && d->desc.release(d->desc.user_data, fingerprint, workspace ? workspace : "0");
    cw_exchange_reply(x, is_released ? 200 : is_post ? 404 : 405, NULL, 0, "", 0);
}

static void handle_metrics(cw_exchange_t* x, void* user) {
    endpoints_t* d = user;
    static const cw_header_t text = {"Content-Type", "text/plain; version=0.0.4"};
    cw_buffer_t out = {0};
    if (strcmp(cw_exchange_path(x), "/held") == 0) {
        handle_quarantine(d, x);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/held/release") == 0) {
        handle_release(d, x);
        return;
    }
    d->desc.write_metrics(d->desc.user_data, &out);
    write_series(&out, "route", &d->routes);
    write_series(&out, "workspace", &d->workspaces);
    cw_exchange_reply(x, 200, &text, 1, cw_buffer_text(&out), out.size);
    cw_buffer_free(&out);
}

/* -- setup ---------------------------------------------------------------- */

static cw_httpd_t* listen_http(endpoints_t* d, const char* address, void (*on_request)(cw_exchange_t*, void*),
                               cw_error_t* err) {
    return cw_httpd_setup(&(cw_httpd_desc_t){.loop = d->desc.loop,
                                             .address = address,
                                             .max_body_bytes = 4096,
                                             .max_connections = 256,
                                             .idle_timeout_s = IDLE_S,
                                             .on_request = on_request,
                                             .user_data = d},
                          err);
}

endpoints_t* endpoints_setup(const endpoints_desc_t* desc, cw_error_t* err) {
    endpoints_t* d = calloc(1, sizeof(*d));
    if (!d) {
        abort();
    }
    d->desc = *desc;
    d->ready = listen_http(d, desc->ready, handle_ready, err);
    d->lookup = d->ready ? listen_http(d, desc->lookup, handle_lookup, err) : NULL;
    d->metrics = d->lookup && desc->metrics[0] ? listen_http(d, desc->metrics, handle_metrics, err) : NULL;
    if (!d->lookup || (desc->metrics[0] && !d->metrics)) {
        endpoints_shutdown(d);
        return NULL;
    }
    return d;
}

void endpoints_shutdown(endpoints_t* d) {
    cw_httpd_t* const servers[] = {d->ready, d->lookup, d->metrics};
    for (size_t i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
        if (servers[i]) {
            cw_httpd_shutdown(servers[i]);
        }
    }
    free(d->routes.items);
    free(d->workspaces.items);
    free(d);
}

void endpoints_set_max_age(endpoints_t* d, uint32_t max_age_ms) {
    d->desc.max_age_ms = max_age_ms;
}
