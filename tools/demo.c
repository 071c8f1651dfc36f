/*
    chalkway-demo BUILD: starts a small site, sends requests of each kind and prints a table of the checks. Exits with 0
    when all checks passed.
*/
#include <ev.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../io/client.h"
#include "site.h"

#define READY_TIMEOUT_MS 20000
#define BURST_REQUESTS 120
#define BEARER_TOKEN "demo-token-of-sofia"

typedef struct demo_t {
    site_t site;
    int check_count, failure_count;
} demo_t;

static void report_check(demo_t* d, bool is_ok, const char* check, const char* observed) {
    printf("  %-46s %-44s %s\n", check, observed, is_ok ? "ok" : "WRONG");
    fflush(stdout);
    d->check_count++;
    d->failure_count += !is_ok;
}

/* -- site ------------------------------------------------------------------ */

static bool start_processes(demo_t* d) {
    static const char* const none[] = {NULL};
    static const char* const engine[] = {"--slots", "8", "--step", "4", NULL};
    site_t* s = &d->site;
    bool ok = site_start(s, SITE_PLATFORM, "platform", "hall-a", none) != NULL;
    ok = ok && site_start(s, SITE_ENGINE, "engine-1", "hall-a", engine);
    ok = ok && site_start(s, SITE_ENGINE, "engine-2", "hall-b", engine);
    ok = ok && site_start(s, SITE_SERVICE, "booking-1", "hall-a", none);
    ok = ok && site_start_daemon(s, "router-1", "hall-a");
    ok = ok && site_start_daemon(s, "router-2", "hall-b");
    return ok && site_start_daemon(s, "router-3", "hall-b");
}

static void add_item(json_t* items, const char* key, json_t* value) {
    json_array_append_new(items, json_pack("{s:s,s:o}", "key", key, "value", value));
}

static void add_upstream(json_t* items, const site_proc_t* p, const char* pool, int slots) {
    char key[64];
    snprintf(key, sizeof(key), "upstreams/%s", p->name);
    add_item(items, key,
             json_pack("{s:s,s:s,s:s,s:i}", "pool", pool, "address", p->http, "hall", p->hall, "slots", slots));
}

static bool publish_configuration(demo_t* d) {
    site_t* s = &d->site;
    char digest[65];
    site_digest(BEARER_TOKEN, digest);
    json_t* items = json_array();
    add_item(items, "workspaces/sofia", json_pack("{s:[s],s:i}", "token_digests", digest, "weight", 1));
    add_item(items, "pools/language", json_pack("{s:s,s:s}", "kind", "engine", "model", "chalk-7b"));
    add_item(items, "pools/scheduling", json_pack("{s:s}", "kind", "service"));
    add_item(items, "classes/booking",
             json_pack("{s:i,s:b,s:b,s:i,s:[s]}", "tier", 0, "protected", 1, "repeatable", 0, "deadline_ms", 5000,
                       "pools", "scheduling"));
    add_item(items, "classes/fault-diagnosis",
             json_pack("{s:i,s:i,s:i,s:[s]}", "tier", 1, "deadline_ms", 20000, "queue_ms", 10000, "pools", "language"));
    add_item(items, "classes/stock-summary",
             json_pack("{s:i,s:i,s:i,s:[s],s:b}", "tier", 3, "deadline_ms", 20000, "queue_ms", 400, "pools", "language",
                       "preemptible", 1));
    add_upstream(items, site_find_process(s, "engine-1"), "language", 8);
    add_upstream(items, site_find_process(s, "engine-2"), "language", 8);
    add_upstream(items, site_find_process(s, "booking-1"), "scheduling", 16);
    json_t* root = json_pack("{s:o}", "items", items);
    char* text = json_dumps(root, 0);
    bool ok = site_publish(s, text);
    free(text);
    json_decref(root);
    return ok;
}

/* -- expected responses ---------------------------------------------------- */

/* The text that an engine stand-in generates for a request id. */
static void format_expected_text(const char* id, unsigned tokens, char* out, size_t size) {
    size_t at = 0;
    out[0] = 0;
    for (unsigned k = 0; k < tokens && at + 16 < size; k++) {
        at += (size_t)snprintf(out + at, size - at, "w%05u ", (unsigned)(XXH64(id, strlen(id), k) % 100000));
    }
}

static void format_prompt(const char* id, unsigned tokens, bool stream, char* out, size_t size) {
    snprintf(out, size,
             "{\"model\":\"chalk-7b\",\"stream\":%s,\"messages\":[{\"role\":\"user\",\"content\":\"id=%s len=%u\"}]}",
             stream ? "true" : "false", id, tokens);
}

/* Concatenates the contents of a stream's events; false if the final [DONE] event is missing. */
static bool join_stream(const char* body, char* out, size_t size) {
    static const char content_key[] = "\"content\":\"";
    size_t at = 0;
    for (const char* p = strstr(body, content_key); p; p = strstr(p, content_key)) {
        p += sizeof(content_key) - 1;
        size_t len = strcspn(p, "\"");
        if (at + len + 1 < size) {
            memcpy(out + at, p, len);
            at += len;
        }
    }
    out[at] = 0;
    return strstr(body, "data: [DONE]") != NULL;
}

/* -- checks ---------------------------------------------------------------- */

static void check_stream(demo_t* d, const char* address) {
    char body[256];
    char expected[4096];
    char got[4096];
    format_prompt("stream-1", 40, true, body, sizeof(body));
    format_expected_text("stream-1", 40, expected, sizeof(expected));
    site_response_t response = site_call(&(site_request_t){.address = address,
                                                           .path = "/v1/chat/completions",
                                                           .token = BEARER_TOKEN,
                                                           .class_name = "fault-diagnosis",
                                                           .body = body});
    bool has_done_event = join_stream(response.body, got, sizeof(got));
    bool is_ok = response.status == 200 && response.is_complete && has_done_event && strcmp(got, expected) == 0;
    char observed[128];
    snprintf(observed, sizeof(observed), "%ld, 40 tokens %s, end %s", response.status,
             strcmp(got, expected) ? "differ" : "as sent", has_done_event ? "seen" : "missing");
    report_check(d, is_ok, "streamed chat completion (fault-diagnosis)", observed);
}

static void check_complete_response(demo_t* d, const char* address) {
    char body[256];
    char expected[4096];
    format_prompt("whole-1", 25, false, body, sizeof(body));
    format_expected_text("whole-1", 25, expected, sizeof(expected));
    site_response_t response = site_call(&(site_request_t){.address = address,
                                                           .path = "/v1/chat/completions",
                                                           .token = BEARER_TOKEN,
                                                           .class_name = "stock-summary",
                                                           .body = body});
    json_t* root = json_loads(response.body, 0, NULL);
    json_t* choice = json_array_get(json_object_get(root, "choices"), 0);
    const char* got = json_string_value(json_object_get(json_object_get(choice, "message"), "content"));
    bool is_same = got && strcmp(got, expected) == 0;
    char observed[128];
    snprintf(observed, sizeof(observed), "%ld %s, 25 tokens %s", response.status, response.outcome,
             is_same ? "as sent" : "differ");
    report_check(d, response.status == 200 && is_same, "non-streamed chat completion (stock-summary)", observed);
    json_decref(root);
}

static int read_run_count(const site_response_t* response) {
    json_t* root = json_loads(response->body, 0, NULL);
    int ran = (int)json_integer_value(json_object_get(root, "ran"));
    json_decref(root);
    return ran;
}

static void check_booking(demo_t* d, const char* lookup_address) {
    site_response_t lookup = site_call(&(site_request_t){.address = lookup_address, .path = "/v1/lookup"});
    json_t* root = json_loads(lookup.body, 0, NULL);
    const char* ticket = json_string_value(json_object_get(root, "ticket"));
    const char* address = json_string_value(json_object_get(root, "ticket_address"));
    size_t addresses = json_array_size(json_object_get(root, "addresses"));
    char observed[128];
    snprintf(observed, sizeof(observed), "%zu addresses, ticket of %s", addresses, address ? address : "nobody");
    report_check(d, addresses >= 2 && ticket && address, "lookup", observed);
    if (ticket && address) {
        char key[192];
        snprintf(key, sizeof(key), "%s/booking-77", ticket);
        const site_request_t call = {.address = address,
                                     .path = "/v1/services/scheduling/book",
                                     .token = BEARER_TOKEN,
                                     .class_name = "booking",
                                     .key = key,
                                     .body = "{\"call\":\"booking-77\",\"slot\":\"08:00\"}"};
        site_response_t first = site_call(&call);
        site_response_t second = site_call(&call);
        bool is_same = strcmp(first.body, second.body) == 0 && read_run_count(&first) == 1;
        snprintf(observed, sizeof(observed), "%ld and %ld, runs %d, answers %s", first.status, second.status,
                 read_run_count(&second), is_same ? "the same" : "differ");
        report_check(d, first.status == 200 && second.status == 200 && is_same,
                     "booking, sent twice with one idempotency key", observed);
        site_request_t other = call;
        for (int i = 0; i < d->site.count; i++) {
            const site_proc_t* p = &d->site.procs[i];
            other.address = (p->kind == SITE_DAEMON && strcmp(p->http, address) != 0) ? p->http : other.address;
        }
        site_response_t third = site_call(&other);
        snprintf(observed, sizeof(observed), "%ld %s", third.status, third.outcome);
        report_check(d, third.status == 409 && strcmp(third.outcome, "unknown") == 0,
                     "the same idempotency key at another host", observed);
    }
    json_decref(root);
    double runs = site_get_number(site_find_process(&d->site, "booking-1")->http, "/admin/stats", "runs");
    snprintf(observed, sizeof(observed), "the service counted %.0f", runs);
    report_check(d, runs == 1, "runs of that booking", observed);
}

/* -- burst ----------------------------------------------------------------- */

typedef struct burst_t {
    int delivered, refused, other, remaining;
    struct ev_loop* loop;
} burst_t;

static void on_burst_done(void* user, const cw_call_result_t* result) {
    burst_t* b = user;
    b->delivered += result->is_complete && result->status == 200;
    b->refused += result->is_complete && result->status == 429;
    b->other += !result->is_complete || (result->status != 200 && result->status != 429);
    if (--b->remaining == 0) {
        ev_break(b->loop, EVBREAK_ALL);
    }
}

static void check_burst(demo_t* d) {
    static char bodies[BURST_REQUESTS][256];
    burst_t b = {.remaining = BURST_REQUESTS, .loop = ev_default_loop(EVFLAG_AUTO)};
    cw_client_t* client = cw_client_setup(b.loop, 0);
    const char* daemons[] = {site_find_process(&d->site, "router-1")->http,
                             site_find_process(&d->site, "router-2")->http,
                             site_find_process(&d->site, "router-3")->http};
    const cw_header_t headers[] = {{"Authorization", "Bearer " BEARER_TOKEN},
                                   {"Chalkway-Class", "stock-summary"},
                                   {"Content-Type", "application/json"}};
    for (int i = 0; i < BURST_REQUESTS; i++) {
        char id[32];
        char url[96];
        snprintf(id, sizeof(id), "burst-%d", i);
        snprintf(url, sizeof(url), "http://%s/v1/chat/completions", daemons[i % 3]);
        format_prompt(id, 60, false, bodies[i], sizeof(bodies[i]));
        cw_client_call(client, &(cw_call_desc_t){.url = url,
                                                 .headers = headers,
                                                 .header_count = 3,
                                                 .body = bodies[i],
                                                 .size = strlen(bodies[i]),
                                                 .timeout_ms = 30000,
                                                 .on_done = on_burst_done,
                                                 .user_data = &b});
    }
    ev_run(b.loop, 0);
    cw_client_shutdown(client);
    char observed[128];
    snprintf(observed, sizeof(observed), "%d delivered, %d refused, %d other", b.delivered, b.refused, b.other);
    report_check(d, b.delivered > 0 && b.refused > 0 && b.other == 0, "burst of 120 at three hosts, 16 slots",
                 observed);
}

static void check_wrong_token(demo_t* d, const char* address) {
    site_response_t response = site_call(&(site_request_t){.address = address,
                                                           .path = "/v1/chat/completions",
                                                           .token = "wrong",
                                                           .class_name = "stock-summary",
                                                           .body = "{}"});
    char observed[128];
    snprintf(observed, sizeof(observed), "%ld %s", response.status, response.outcome);
    report_check(d, response.status == 401 && strcmp(response.outcome, "not-run") == 0, "wrong bearer token", observed);
}

static void check_stop(demo_t* d) {
    site_proc_t* p = site_find_process(&d->site, "router-3");
    int code = site_stop(p);
    char observed[64];
    snprintf(observed, sizeof(observed), "exit code %d", code);
    report_check(d, code == 0, "planned stop of a host (SIGTERM)", observed);
    int failed = site_shutdown(&d->site);
    snprintf(observed, sizeof(observed), "%d daemons with a non-zero exit code", failed);
    report_check(d, failed == 0, "shutdown of all processes", observed);
}

int main(int argc, char** argv) {
    static demo_t demo;
    demo_t* d = &demo;
    setvbuf(stdout, NULL, _IOLBF, 0);
    site_setup(&d->site, argc > 1 ? argv[1] : "build");
    d->site.extra_daemon_settings = "[entry]\nlookup_keep = 1s\n";
    if (!start_processes(d) || !publish_configuration(d) || !site_wait_ready(&d->site, READY_TIMEOUT_MS)) {
        fprintf(stderr, "the site did not become ready; logs are in %s\n", d->site.dir);
        site_shutdown(&d->site);
        return 1;
    }
    const char* address = site_find_process(&d->site, "router-2")->http;
    printf("\n  3 routers in 2 halls, 2 engines, 1 service\n\n");
    check_stream(d, address);
    check_complete_response(d, address);
    check_booking(d, address);
    check_burst(d);
    check_wrong_token(d, address);
    check_stop(d);
    printf("\n  %d of %d checks passed\n", d->check_count - d->failure_count, d->check_count);
    return d->failure_count ? 1 : 0;
}
