"""Notice when a member falls silent in this VM's view, or is heard again."""

from attrs import define, field

from pomelobarrow.decision.member_record import Judgement
from pomelobarrow.peers.events import MemberJudged


@define
class LiveChanges:
    """Hold how each member was judged last."""

    _was_live: dict[str, bool] = field(factory=dict, init=False)

    def observe(self, judgements: tuple[Judgement, ...]) -> list[MemberJudged]:
        """Take the present judgements; return those that differ from the last ones.

        A member that wasn't known before is no change while it counts as silent: old words on VMs
        that are gone come with each new link.
        """
        changes = [
            _judged(each)
            for each in judgements
            if each.is_live != self._was_live.get(each.member.vm, False)
        ]
        self._was_live = {each.member.vm: each.is_live for each in judgements}
        return changes


def _judged(judgement: Judgement) -> MemberJudged:
    return MemberJudged(
        member=judgement.member.vm,
        incarnation=judgement.member.incarnation,
        phase=judgement.member.phase,
        is_live=judgement.is_live,
        told_by=judgement.told_by,
        heard_age_s=round(judgement.heard_age_s, 3),
        allowed_silence_s=round(judgement.allowed_silence_s, 3),
    )
