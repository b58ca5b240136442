//! Last part of a message that builds of before do not know.

use bincode::{
    BorrowDecode, Decode, Encode,
    de::{BorrowDecoder, Decoder},
    enc::Encoder,
    error::{DecodeError, EncodeError},
};

/// Last field of a message that is its last part. A build that does not know the field ignores its
/// bytes; in a message of such a build, which ends before it, it has its default value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trailing<T>(pub T);

impl<T: Encode> Encode for Trailing<T> {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.0.encode(encoder)
    }
}

impl<C, T: Decode<C> + Default> Decode<C> for Trailing<T> {
    fn decode<D: Decoder<Context = C>>(decoder: &mut D) -> Result<Self, DecodeError> {
        match T::decode(decoder) {
            Ok(value) => Ok(Self(value)),
            Err(DecodeError::UnexpectedEnd { .. }) => Ok(Self::default()),
            Err(error) => Err(error),
        }
    }
}

impl<'de, C, T: Decode<C> + Default> BorrowDecode<'de, C> for Trailing<T> {
    fn borrow_decode<D: BorrowDecoder<'de, Context = C>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Self::decode(decoder)
    }
}
