/* State machine of a request: every event in every state, and the outcome that is reported. */
#include "../chalkway_request.h"
#include "test.h"

#define SEEDS 2000
#define STEPS 40

/* Facts that the test derives on its own from the events. */
typedef struct facts_t {
    int send_count;   /* attempts that began to send */
    int may_have_run; /* of these, the ones that the upstream did not reject */
    int response_count;
    bool has_slot;
} facts_t;

START_TEST(complete_response_is_delivered) {
    cw_request_t r = cw_request_new(&(cw_request_desc_t){.repeatable = true});
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_START), CW_DO_REQUEST_SLOT);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_GRANT), CW_DO_CONNECT);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_NOT_RUN);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_SENDING), 0);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_UNKNOWN);
    cw_request_event(&r, CW_EV_RESPONSE_HEAD);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_FAILED);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_RESPONSE_END), CW_DO_RELEASE_SLOT | CW_DO_RESPOND);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_DELIVERED);
}
END_TEST

START_TEST(expired_grant_is_released_and_requested_again) {
    cw_request_t r = cw_request_new(&(cw_request_desc_t){0});
    cw_request_event(&r, CW_EV_START);
    cw_request_event(&r, CW_EV_GRANT);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_GRANT_EXPIRED), CW_DO_ABORT | CW_DO_RELEASE_SLOT | CW_DO_REQUEST_SLOT);
    ck_assert_int_eq(r.state, CW_REQ_WAITING);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_NOT_RUN);
}
END_TEST

START_TEST(non_repeatable_call_runs_on_after_caller_closes) {
    cw_request_t r = cw_request_new(&(cw_request_desc_t){.repeatable = false});
    cw_request_event(&r, CW_EV_START);
    cw_request_event(&r, CW_EV_GRANT);
    cw_request_event(&r, CW_EV_SENDING);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_CALLER_CLOSED), 0);
    ck_assert_int_eq(r.state, CW_REQ_DETACHED);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_RESPONSE_END), CW_DO_RELEASE_SLOT | CW_DO_RESPOND);
}
END_TEST

START_TEST(broken_stream_is_resumed_only_if_resumable) {
    for (int resumable = 0; resumable < 2; resumable++) {
        cw_request_t r = cw_request_new(&(cw_request_desc_t){.repeatable = true, .resumable = resumable});
        cw_request_event(&r, CW_EV_START);
        cw_request_event(&r, CW_EV_GRANT);
        cw_request_event(&r, CW_EV_SENDING);
        cw_request_event(&r, CW_EV_RESPONSE_HEAD);
        cw_request_event(&r, CW_EV_BODY_FORWARDED);
        uint32_t actions = cw_request_event(&r, CW_EV_UPSTREAM_FAILED);
        ck_assert_int_eq((actions & CW_DO_REQUEST_SLOT) != 0, resumable);
        ck_assert_int_eq((actions & CW_DO_RESPOND) != 0, !resumable);
    }
}
END_TEST

START_TEST(late_grant_is_released) {
    cw_request_t r = cw_request_new(&(cw_request_desc_t){0});
    cw_request_event(&r, CW_EV_START);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_DEADLINE), CW_DO_CANCEL_SLOT_REQUEST | CW_DO_RESPOND);
    ck_assert_uint_eq(cw_request_event(&r, CW_EV_GRANT), CW_DO_RELEASE_NEW_SLOT);
}
END_TEST

static void check_actions(facts_t* f, uint32_t actions, bool sent) {
    if (actions & CW_DO_RELEASE_SLOT) {
        ck_assert_msg(f->has_slot, "a slot is released that is not held");
        f->has_slot = false;
    }
    if (actions & CW_DO_CONNECT) {
        ck_assert_msg(!f->has_slot, "two slots are held at once");
        f->has_slot = true;
    }
    f->response_count += (actions & CW_DO_RESPOND) ? 1 : 0;
    f->send_count += sent;
    f->may_have_run += sent;
}

/* Random events in any order, for repeatable and non-repeatable requests: after each event, not-run is reported only if
   no attempt may have run, and a non-repeatable call may have run at most once. */
START_TEST(random_events_keep_invariants) {
    rng_t rng = {.state = (uint64_t)_i};
    for (int k = 0; k < SEEDS / 10; k++) {
        bool repeatable = rng_below(&rng, 2);
        cw_request_t r = cw_request_new(&(cw_request_desc_t){.repeatable = repeatable,
                                                             .cancel_on_caller_close = rng_below(&rng, 2),
                                                             .counts_sent_only = rng_below(&rng, 2),
                                                             .max_attempts = 3});
        facts_t f = {0};
        check_actions(&f, cw_request_event(&r, CW_EV_START), false);
        for (int step = 0; step < STEPS; step++) {
            cw_request_event_t event = (cw_request_event_t)(1 + rng_below(&rng, CW_EV_COUNT - 1));
            cw_request_state_t before = r.state;
            r.is_retry_allowed = rng_below(&rng, 2);
            f.may_have_run -= event == CW_EV_REJECTED && before == CW_REQ_SENT;
            check_actions(&f, cw_request_event(&r, event), event == CW_EV_SENDING && before == CW_REQ_CONNECTING);
            if (event == CW_EV_SENDING && before != CW_REQ_CONNECTING) {
                ck_assert_int_eq(r.state, before);
            }
            cw_outcome_t outcome = cw_request_outcome(&r);
            ck_assert_msg(outcome != CW_OUTCOME_NOT_RUN || f.may_have_run == 0,
                          "not-run is reported for a request that may have run");
            ck_assert_msg(repeatable || f.may_have_run <= 1, "a non-repeatable call may have run %d times",
                          f.may_have_run);
            ck_assert_int_le(f.send_count, 3);
        }
        cw_request_event(&r, CW_EV_DEADLINE);
        cw_request_event(&r, CW_EV_UPSTREAM_FAILED);
        ck_assert_int_eq(r.state, CW_REQ_ENDED);
    }
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, complete_response_is_delivered);
    tcase_add_test(t, expired_grant_is_released_and_requested_again);
    tcase_add_test(t, non_repeatable_call_runs_on_after_caller_closes);
    tcase_add_test(t, broken_stream_is_resumed_only_if_resumable);
    tcase_add_test(t, late_grant_is_released);
    tcase_add_loop_test(t, random_events_keep_invariants, 0, 10);
}

int main(void) {
    return run_suite("request", add_tests, 60);
}
