/* Small modules of the gateway on a simulated clock: catalog, retry budget, outcomes, epochs, occupancy. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_catalog.h"
#include "../chalkway_epoch.h"
#include "../chalkway_limit.h"
#include "../chalkway_load.h"
#include "../chalkway_occupancy.h"
#include "../chalkway_request.h"
#include "../chalkway_servers.h"
#include "test.h"

/* -- catalog -------------------------------------------------------------- */

static const char document[] =
    "{\"revision\":5,\"newer_field\":{},\"routes\":["
    "{\"name\":\"a\",\"host\":\"H.example\",\"prefix\":\"/a/\",\"kind\":\"once\",\"pools\":[{\"pool\":\"p\"}]},"
    "{\"name\":\"ab\",\"host\":\"h.example\",\"prefix\":\"/a/b/\",\"kind\":\"stream\",\"resume\":true,"
    "\"pools\":[{\"pool\":\"p\",\"weight\":90},{\"pool\":\"q\",\"weight\":10}]}],"
    "\"pools\":[{\"name\":\"p\"},{\"name\":\"q\",\"engine\":{\"slots\":4,\"memory_tokens\":1000}}],"
    "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k1\",\"k2\"],\"tier\":2}]}";

static const cw_route_t* find_route(const cw_catalog_t* c, const char* host, const char* path) {
    return cw_catalog_find_route(c, host, path, strlen(path));
}

START_TEST(catalog_finds_the_longest_prefix_and_the_workspace_of_a_key) {
    cw_error_t err = {0};
    cw_catalog_t* c = cw_catalog_parse(document, strlen(document), &err);
    ck_assert_msg(c != NULL, "%s", err.message);
    ck_assert_str_eq(find_route(c, "h.EXAMPLE", "/a/x")->name, "a");
    ck_assert_str_eq(find_route(c, "h.example", "/a/b/c/d")->name, "ab");
    ck_assert_str_eq(find_route(c, "h.example", "/a/b")->name, "a");
    ck_assert_ptr_null(find_route(c, "h.example", "/b/a/"));
    ck_assert_ptr_null(find_route(c, "other.example", "/a/x"));
    ck_assert_str_eq(cw_catalog_find_workspace(c, "k2")->name, "w");
    ck_assert_ptr_null(cw_catalog_find_workspace(c, "k"));
    ck_assert(c->requires_keys);
    cw_catalog_release(c);
}
END_TEST

START_TEST(catalog_chooses_pools_by_weight) {
    cw_catalog_t* c = cw_catalog_parse(document, strlen(document), NULL);
    const cw_route_t* split = find_route(c, "h.example", "/a/b/");
    int q = 0;
    for (uint64_t draw = 0; draw < 1000; draw++) {
        q += strcmp(cw_catalog_choose_pool(c, split, draw)->name, "q") == 0;
    }
    ck_assert_int_eq(q, 100);
    cw_catalog_release(c);
}
END_TEST

START_TEST(catalog_refuses_an_invalid_document_with_a_reason) {
    static const struct {
        const char* text;
        const char* why;
    } cases[] = {
        {"", "no JSON object"},
        {"[]", "no JSON object"},
        {"{\"revision\":1}", "must be lists"},
        {"{\"routes\":[],\"pools\":[]}", "revision"},
        {"{\"revision\":\"x\",\"routes\":[],\"pools\":[]}", "revision"},
        {"{\"revision\":1,\"routes\":[{}],\"pools\":[]}", "name"},
        {"{\"revision\":1,\"pools\":[],\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
         "\"kind\":\"once\",\"pools\":[{\"pool\":\"none\"}]}]}",
         "is no pool"},
        {"{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"a\",\"host\":\"h\","
         "\"prefix\":\"a\",\"kind\":\"once\",\"pools\":[{\"pool\":\"p\"}]}]}",
         "slash"},
        {"{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"a\",\"host\":\"h\","
         "\"prefix\":\"/\",\"kind\":\"odd\",\"pools\":[{\"pool\":\"p\"}]}]}",
         "kind"},
        {"{\"revision\":1,\"pools\":[],\"routes\":[],\"workspaces\":[{\"name\":\"w\",\"keys\":[7]}]}", "keys"}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cw_error_t err = {0};
        ck_assert_ptr_null(cw_catalog_parse(cases[i].text, strlen(cases[i].text), &err));
        ck_assert_msg(strstr(err.message, cases[i].why) != NULL, "case %zu: %s", i, err.message);
    }
}
END_TEST

START_TEST(a_list_of_servers_survives_the_json_round_trip) {
    cw_servers_t list = {.at = 9, .age_ms = 120};
    cw_server_t one = {.id = "i-1", .address = "10.0.0.1:80", .pool = "p", .hall = "a", .slots = 4, .cold_ms = 7};
    cw_server_t two = {.id = "i-2", .address = "10.0.0.2:80", .pool = "p", .hall = "b", .slots = 4, .leaving = true};
    cw_servers_add(&list, &one);
    cw_servers_add(&list, &two);
    char* text = cw_servers_to_json(&list);
    cw_servers_t copy = {0};
    ck_assert_int_eq(cw_servers_from_json(&copy, text, strlen(text), NULL), CW_OK);
    ck_assert_uint_eq(copy.count, 2);
    ck_assert_str_eq(copy.items[0].id, "i-1");
    ck_assert(copy.items[1].leaving);
    ck_assert_uint_eq(copy.age_ms, 120);
    ck_assert_uint_eq(cw_servers_hash(&copy), cw_servers_hash(&list));
    copy.items[0].leaving = true;
    ck_assert_uint_ne(cw_servers_hash(&copy), cw_servers_hash(&list));
    cw_servers_t bad = {0};
    cw_error_t err = {0};
    ck_assert_int_eq(cw_servers_from_json(&bad, "{\"servers\":[{}]}", 16, &err), CW_ERR_INVALID);
    ck_assert_int_eq(cw_servers_from_json(&bad, "nonsense", 8, &err), CW_ERR_INVALID);
    free(text);
    cw_servers_free(&list);
    cw_servers_free(&copy);
}
END_TEST

/* -- retry budget --------------------------------------------------------- */

START_TEST(retries_stay_within_the_budget_in_any_window) {
    enum { DAEMONS = 9, STEP_MS = 50, STEPS = 1200, SPAN = 10000 / STEP_MS };
    cw_retry_window_t w = {.ratio = 0.2, .slack = 58, .window_ms = 10000, .daemons = DAEMONS};
    int first[STEPS] = {0};
    int retries[STEPS] = {0};
    for (int i = 0; i < STEPS; i++) {
        int arrivals = i % 400 < 60 ? 6 : i % 3 == 0; /* bursts, and times with few requests */
        for (int k = 0; k < arrivals; k++) {
            cw_retry_window_on_first_attempt(&w, (int64_t)i * STEP_MS);
            first[i]++;
            retries[i] += cw_retry_window_take(&w, (int64_t)i * STEP_MS);
        }
    }
    for (int from = 0; from + SPAN < STEPS; from++) {
        int f = 0;
        int r = 0;
        for (int i = from; i < from + SPAN; i++) {
            f += first[i];
            r += retries[i];
        }
        for (int i = from > SPAN ? from - SPAN : 0, before = 0; i < from; i++) {
            before += first[i];
            f = before > f ? before : f; /* the budget counts the fuller of this window and the one before */
        }
        ck_assert_msg(r <= 0.2 * f + 58.0 / DAEMONS + 1, "at %d: %d retries for %d first attempts", from, r, f);
    }
}
END_TEST

/* -- outcomes, epochs, slot occupancy ------------------------------------- */

START_TEST(a_rejected_attempt_restores_the_outcome_before_it) {
    cw_request_t r = cw_request_new(&(cw_request_desc_t){.max_attempts = 3, .counts_sent_only = true});
    cw_request_event(&r, CW_EV_START);
    cw_request_event(&r, CW_EV_GRANT);
    cw_request_event(&r, CW_EV_SENDING);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_UNKNOWN);
    ck_assert(cw_request_event(&r, CW_EV_REJECTED) & CW_DO_REQUEST_SLOT);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_NOT_RUN);
    cw_request_event(&r, CW_EV_GRANT);
    cw_request_event(&r, CW_EV_SENDING);
    ck_assert(cw_request_event(&r, CW_EV_UPSTREAM_FAILED) & CW_DO_RESPOND);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_UNKNOWN);
}
END_TEST

/* The first epoch that is received does not count as newer, a lower epoch is always older, and an invalid one changes
   nothing. */
START_TEST(source_epochs_only_increase) {
    static const struct {
        const char* text;
        cw_epoch_verdict_t verdict;
        int64_t number;
    } received[] = {{NULL, CW_EPOCH_SAME, 0},      {"4", CW_EPOCH_SAME, 4},
                    {"4", CW_EPOCH_SAME, 4},       {"6", CW_EPOCH_NEWER, 6},
                    {"5", CW_EPOCH_OLDER, 6},      {"", CW_EPOCH_MALFORMED, 6},
                    {"7x", CW_EPOCH_MALFORMED, 6}, {"-9", CW_EPOCH_MALFORMED, 6},
                    {"0", CW_EPOCH_MALFORMED, 6},  {"99999999999999999999", CW_EPOCH_MALFORMED, 6},
                    {NULL, CW_EPOCH_SAME, 6},      {"7", CW_EPOCH_NEWER, 7}};
    cw_epoch_t epoch = {0};
    for (size_t i = 0; i < sizeof(received) / sizeof(received[0]); i++) {
        ck_assert_int_eq(cw_epoch_observe(&epoch, received[i].text), received[i].verdict);
        ck_assert_int_eq(epoch.number, received[i].number);
    }
}
END_TEST

/* Each urgency has its own statistics, and values beyond the last urgency count as the last one. */
START_TEST(slot_hold_times_are_learned_by_urgency) {
    cw_occupancy_t h = {0};
    ck_assert_double_eq(cw_occupancy_hold_ms(&h, 0), 0);
    for (uint32_t i = 0; i < 100; i++) {
        cw_occupancy_begin(&h, 0);
        cw_occupancy_begin(&h, CW_URGENCY_LEVELS + 3);
        cw_occupancy_learn(&h, 0, i < 20 ? 4000 : 2000);
        cw_occupancy_learn(&h, CW_URGENCY_LEVELS + 3, 100);
    }
    ck_assert_double_eq_tol(cw_occupancy_hold_ms(&h, 0), 2000, 100);
    ck_assert_double_eq_tol(cw_occupancy_hold_ms(&h, CW_URGENCY_LEVELS - 1), 100, 1e-6);
    ck_assert_double_eq(cw_occupancy_hold_ms(&h, 1), 0);
    ck_assert_uint_eq(cw_occupancy_running(&h, 0, 0), 100);
    ck_assert_uint_eq(cw_occupancy_running(&h, 1, CW_URGENCY_LEVELS - 1), 100);
    cw_occupancy_end(&h, 0);
    cw_occupancy_end(&h, 5); /* no run of this urgency is active */
    ck_assert_uint_eq(cw_occupancy_running(&h, 0, CW_URGENCY_LEVELS - 1), 199);
}
END_TEST

/* A run releases its slot exactly once, also when its server was removed meanwhile, and only served runs count for the
   hold time. */
START_TEST(slot_occupancy_survives_the_removal_of_a_server) {
    cw_server_spec_t spec = {.id = 5, .slots = 8, .memory_tokens = 10000};
    cw_work_t work = {.urgency = 3, .prompt_tokens = 100, .target_ms = 400};
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 1});
    cw_balance_set_servers(b, 0, &spec, 1);
    cw_run_t served = cw_balance_begin(b, 1000, 0, &work);
    cw_run_t broken = cw_balance_begin(b, 1000, 0, &work);
    cw_run_t orphan = cw_balance_begin(b, 1000, 0, &work);
    ck_assert_uint_eq(cw_occupancy_running(cw_balance_occupancy(b), 3, 3), 3);
    cw_balance_end(b, 1300, &served, CW_TRY_SERVED);
    cw_balance_end(b, 1301, &served, CW_TRY_SERVED); /* a second end is ignored */
    cw_balance_end(b, 1010, &broken, CW_TRY_BROKEN);
    ck_assert_double_eq(cw_occupancy_hold_ms(cw_balance_occupancy(b), 3), 300);
    cw_balance_set_servers(b, 1400, NULL, 0);
    cw_balance_end(b, 1500, &orphan, CW_TRY_FAILED);
    ck_assert_uint_eq(cw_occupancy_running(cw_balance_occupancy(b), 0, CW_URGENCY_LEVELS - 1), 0);
    cw_balance_shutdown(b);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, source_epochs_only_increase);
    tcase_add_test(t, slot_hold_times_are_learned_by_urgency);
    tcase_add_test(t, slot_occupancy_survives_the_removal_of_a_server);
    tcase_add_test(t, catalog_finds_the_longest_prefix_and_the_workspace_of_a_key);
    tcase_add_test(t, catalog_chooses_pools_by_weight);
    tcase_add_test(t, catalog_refuses_an_invalid_document_with_a_reason);
    tcase_add_test(t, a_list_of_servers_survives_the_json_round_trip);
    tcase_add_test(t, retries_stay_within_the_budget_in_any_window);
    tcase_add_test(t, a_rejected_attempt_restores_the_outcome_before_it);
}

int main(void) {
    return run_suite("gateway-parts", add_tests, 30);
}
