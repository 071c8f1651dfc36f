/* Observations about suspect requests (a server crashed under one, one is on trial, one was cleared): sent at once,
   forwarded and repeated. */
#include "clock.h"
#include "news_parts.h"

/* The hosts of the first ranks repeat all observations, so that neither a lost datagram nor a host that just started
   costs a server. 48 observations of 30 bytes a second from two hosts are 3 KB/s for each host that receives them. */
#define OBSERVATION_REPEAT_INTERVAL_MS 1000
#define OBSERVATION_REPEATER_RANKS 2
#define OBSERVATION_BURST_DATAGRAMS 16  /* sent at once when a host joins; the rest is repeated later */
#define OBSERVATION_RESEND_DELAY_MS 150 /* new ones are sent twice: one datagram in ten may be lost */
#define STALL_MS 100 /* a longer delay means that this process stalled and datagrams waited in its socket */

static void queue_observation(news_t* n, const cw_mark_t* observation, bool to_other_halls, int64_t due_ms) {
    if (n->pending_count < OBSERVATION_QUEUE_MAX) {
        n->pending[n->pending_count++] = (pending_observation_t){
            .observation = *observation, .to_other_halls = to_other_halls, .due_ms = due_ms, .stamped_ms = clock_ms()};
    }
}

/* Sends the observations that are due, only those for the other halls or all, in as few datagrams as hold them. */
static void send_due_observations(news_t* n, bool to_other_halls, void (*send)(news_t*, cw_load_message_t*)) {
    cw_load_message_t message = {0};
    int64_t now_ms = clock_ms();
    for (uint32_t i = 0; i < n->pending_count; i++) {
        const pending_observation_t* item = &n->pending[i];
        if (item->due_ms > now_ms || (to_other_halls && !item->to_other_halls)) {
            continue;
        }
        message.marks[message.mark_count] = item->observation;
        message.marks[message.mark_count++].age_ms += (uint32_t)(now_ms - item->stamped_ms);
        if (message.mark_count == CW_LOAD_MARKS) {
            send(n, &message);
            message.mark_count = 0;
        }
    }
    if (message.mark_count) {
        send(n, &message);
    }
}

static void drop_sent_observations(news_t* n) {
    int64_t now_ms = clock_ms();
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < n->pending_count; i++) {
        if (n->pending[i].due_ms > now_ms) {
            n->pending[remaining++] = n->pending[i];
        }
    }
    n->pending_count = remaining;
}

void news_tell_marks(news_t* n) {
    if (!n->pending_count) {
        return;
    }
    news_read_members(n);
    if (n->is_relay) {
        send_due_observations(n, false, news_send_to_hall);
        send_due_observations(n, true, news_send_to_other_halls);
    } else {
        send_due_observations(n, true, news_send_to_relay);
    }
    drop_sent_observations(n);
}

/* The ages of observations show which servers crashed at the same moment, so they must stay exact: the upper bound of
   the datagram's delay is added only after this process stalled. */
void news_take_marks(news_t* n, const cw_load_message_t* message, uint32_t delay_ms) {
    uint32_t stall_ms = delay_ms > STALL_MS ? delay_ms : 0;
    for (uint32_t i = 0; i < message->mark_count; i++) {
        cw_mark_t observation = message->marks[i];
        observation.age_ms += observation.age_ms < UINT32_MAX - stall_ms ? stall_ms : 0;
        if (n->desc.on_mark) {
            n->desc.on_mark(n->desc.user_data, &observation);
        }
        if (message->scope != CW_LOAD_LAST) {
            queue_observation(n, &observation, message->scope == CW_LOAD_FOR_ALL, 0);
            n->stats.passed_on++;
        }
    }
    news_tell_marks(n);
}

void news_repeat_marks(news_t* n, int64_t now_ms) {
    if (n->rank >= OBSERVATION_REPEATER_RANKS ||
        now_ms - n->observations_repeated_ms < OBSERVATION_REPEAT_INTERVAL_MS || !n->desc.marks) {
        return;
    }
    cw_mark_t marks[CW_LOAD_MARKS];
    uint32_t count = n->desc.marks(n->desc.user_data, &n->next_observation, marks, CW_LOAD_MARKS);
    for (uint32_t i = 0; i < count; i++) {
        queue_observation(n, &marks[i], true, 0);
    }
    n->observations_repeated_ms = now_ms;
}

/* Callers reach a host within milliseconds of its start. Without the observations it would send suspect requests to
   more servers, so it gets all of them at once. */
void news_tell_all_marks(news_t* n) {
    n->next_observation = 0;
    for (uint32_t i = 0; i < OBSERVATION_BURST_DATAGRAMS && (!i || n->next_observation); i++) {
        n->observations_repeated_ms = 0;
        news_repeat_marks(n, clock_ms());
        news_tell_marks(n);
    }
}

void news_on_mark(news_t* n, const cw_mark_t* observation) {
    queue_observation(n, observation, true, 0);
    queue_observation(n, observation, true, clock_ms() + OBSERVATION_RESEND_DELAY_MS);
    news_flush_after(n, FLUSH_DELAY_MS);
}
